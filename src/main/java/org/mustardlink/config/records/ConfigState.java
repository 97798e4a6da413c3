package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.List;
import java.util.Optional;

/**
 * The configuration as of an offset of the log: a pure function of the records below it.
 *
 * <p>Immutable. Every host that applied the records below the same offset holds an equal state, whatever its version and
 * whether it started from the log or from a snapshot. Records that are malformed or rejected never stop the ones after
 * them. Memory is bounded: {@link #MAX_ENTITIES} entities, {@link #MAX_CHARACTERS} characters of bodies, {@link
 * #MAX_OUTCOMES} remembered changes and {@link #MAX_TOMBSTONES} remembered deletions.
 */
public final class ConfigState {
    /** Entities held at most; ten times the target size in two years. */
    public static final int MAX_ENTITIES = 20_000;

    /** Characters that the entities may take in a snapshot; it has to fit into one append of 4 MiB with the rest. */
    public static final int MAX_CHARACTERS = 5 << 19;

    /** Changes whose outcome is remembered; over two days of 770 changes, longer than any client retries. */
    public static final int MAX_OUTCOMES = 2048;

    /** Deletions remembered, to name the winner of a conflict with one. */
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

    /** Returns the configuration before the first record. */
    public static ConfigState empty() {
        return new ConfigState(0, 0, ImmutableSortedMap.of(), ImmutableMap.of(), ImmutableMap.of());
    }

    /** Returns the offset of the first record that is not part of this state. */
    public long offset() {
        return offset;
    }

    /** Returns the entities by key, in order of their keys. */
    public ImmutableSortedMap<EntityKey, Entity> entities() {
        return entities;
    }

    /** Returns an entity. */
    public Optional<Entity> find(EntityKey key) {
        return Optional.ofNullable(entities.get(key));
    }

    /** Returns what was decided about the remembered changes, oldest first. */
    public ImmutableMap<String, Outcome> outcomes() {
        return outcomes;
    }

    /** Returns what was decided about a change, while it is remembered. */
    public Optional<Outcome> outcome(String changeId) {
        return Optional.ofNullable(outcomes.get(changeId));
    }

    /**
     * Applies the records that follow this state.
     *
     * @param records the records from {@link #offset()} on, in order
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
     * Returns what log order would decide about a change if it came next. A change that is already remembered keeps its
     * outcome.
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
