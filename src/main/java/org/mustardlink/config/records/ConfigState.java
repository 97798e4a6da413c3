package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Optional;

/**
 * The configuration at an offset of the log, as a pure function of the records before that offset.
 *
 * <p>Immutable. All hosts that applied the records before the same offset hold equal states, regardless of their versions
 * and of whether they started from the log or from a snapshot. Malformed or rejected records don't prevent later records
 * from being applied. Memory is bounded: {@link #MAX_ENTITIES} entities, {@link #MAX_CHARACTERS} characters of bodies, {@link
 * #MAX_OUTCOMES} outcomes of changes and {@link #MAX_TOMBSTONES} tombstones of deleted entities.
 */
public final class ConfigState {
    /** Maximum number of entities; ten times the number that a deployment is planned to reach in two years. */
    public static final int MAX_ENTITIES = 20_000;

    /** Maximum characters of the entities in a snapshot, so that the whole snapshot fits into one append of 4 MiB. */
    public static final int MAX_CHARACTERS = 5 << 19;

    /** Maximum number of outcomes kept; at 770 changes a day over two days, which is longer than any client retries. */
    public static final int MAX_OUTCOMES = 2048;

    /** Maximum number of tombstones kept, which name the winning change of a conflict with a deletion. */
    public static final int MAX_TOMBSTONES = 1024;

    private final long offset;
    private final long characters;
    private final ImmutableSortedMap<EntityKey, Entity> entities;
    private final ImmutableMap<String, Outcome> outcomes;
    private final ImmutableMap<EntityKey, String> tombstones;

    ConfigState(
            long offset,
            long characters,
            ImmutableSortedMap<EntityKey, Entity> entities,
            ImmutableMap<String, Outcome> outcomes,
            ImmutableMap<EntityKey, String> tombstones) {
        checkArgument(offset >= 0, "offset must not be negative: %s", offset);
        this.offset = offset;
        this.characters = characters;
        this.entities = checkNotNull(entities, "entities");
        this.outcomes = checkNotNull(outcomes, "outcomes");
        this.tombstones = checkNotNull(tombstones, "tombstones");
    }

    /** Returns the empty configuration before the first record. */
    public static ConfigState empty() {
        return new ConfigState(0, 0, ImmutableSortedMap.of(), ImmutableMap.of(), ImmutableMap.of());
    }

    /** Returns the offset of the first record that this state does not include. */
    public long offset() {
        return offset;
    }

    /** Returns the entities, sorted by key. */
    public ImmutableSortedMap<EntityKey, Entity> entities() {
        return entities;
    }

    /** Returns the entity with a key, if it exists. */
    public Optional<Entity> find(EntityKey key) {
        return Optional.ofNullable(entities.get(key));
    }

    /** Returns the outcomes that are still kept by change id, oldest first. */
    public ImmutableMap<String, Outcome> outcomes() {
        return outcomes;
    }

    /** Returns the outcome of a change, if it is still kept. */
    public Optional<Outcome> outcome(String changeId) {
        return Optional.ofNullable(outcomes.get(changeId));
    }

    /**
     * Returns the state after the given records.
     *
     * @param records the records that start at {@link #offset()}, in log order
     */
    public ConfigState apply(List<String> records) {
        if (records.isEmpty()) {
            return this;
        }
        ConfigStateBuilder builder = new ConfigStateBuilder(this);
        records.forEach(builder::apply);
        return builder.build();
    }

    /**
     * Returns the outcome that a change would have as the next record. If the outcome of the change is already known, that
     * outcome is returned.
     */
    public Outcome preview(Change change) {
        return new ConfigStateBuilder(this).decide(change);
    }

    long characters() {
        return characters;
    }

    ImmutableMap<EntityKey, String> tombstones() {
        return tombstones;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ConfigState state
                && offset == state.offset
                && entities.equals(state.entities)
                && ImmutableList.copyOf(outcomes.values()).equals(ImmutableList.copyOf(state.outcomes.values()))
                && tombstones.equals(state.tombstones);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(offset) * 31 + entities.hashCode();
    }

    @Override
    public String toString() {
        return "ConfigState{offset=" + offset + ", entities=" + entities.keySet() + '}';
    }
}
