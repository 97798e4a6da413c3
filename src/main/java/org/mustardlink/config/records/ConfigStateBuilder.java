package org.mustardlink.config.records;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Applies records to a mutable copy of a {@link ConfigState}. Not thread-safe. */
final class ConfigStateBuilder {
    private final TreeMap<EntityKey, Entity> entities;
    private final LinkedHashMap<String, Outcome> outcomes;
    private final LinkedHashMap<EntityKey, String> tombstones;
    private long offset;
    private long characters;

    ConfigStateBuilder(ConfigState state) {
        offset = state.offset();
        entities = new TreeMap<>(state.entities());
        outcomes = new LinkedHashMap<>(state.outcomes());
        tombstones = new LinkedHashMap<>(state.tombstones());
        characters = entities.values().stream()
                .mapToLong(ConfigStateBuilder::charactersOf)
                .sum();
    }

    void apply(String text) {
        try {
            Change change = Change.parse(text);
            if (!outcomes.containsKey(change.id())) {
                Outcome outcome = decide(change);
                if (outcome.isAccepted()) {
                    change.entities().forEach(entity -> writeEntity(change, entity));
                }
                recordOutcome(outcome);
            }
        } catch (RejectedChangeException e) {
            parseChangeId(text)
                    .filter(id -> !outcomes.containsKey(id))
                    .ifPresent(id -> recordOutcome(Outcome.rejected(id, offset, e.code(), e.getMessage())));
        }
        offset++;
    }

    Outcome decide(Change change) {
        Outcome earlier = outcomes.get(change.id());
        if (earlier != null) {
            return earlier;
        }
        for (EntityChange entity : change.entities()) {
            if (!isBasedOnCurrentRevision(entity)) {
                return conflict(change, entity.key());
            }
        }
        try {
            change.entities()
                    .forEach(entity -> entity.body().ifPresent(body -> BodyRules.validate(entity.key(), body)));
        } catch (RejectedChangeException e) {
            return Outcome.rejected(change.id(), offset, e.code(), e.getMessage());
        }
        if (exceedsLimits(change)) {
            return Outcome.rejected(
                    change.id(),
                    offset,
                    RejectionCode.LIMIT,
                    "the change would exceed the limits on entities or on characters of the configuration");
        }
        return Outcome.accepted(change.id(), offset);
    }

    ConfigState build() {
        return new ConfigState(
                offset,
                characters,
                ImmutableSortedMap.copyOfSorted(entities),
                ImmutableMap.copyOf(outcomes),
                ImmutableMap.copyOf(tombstones));
    }

    private boolean isBasedOnCurrentRevision(EntityChange change) {
        Entity current = entities.get(change.key());
        OptionalLong revision = current == null ? OptionalLong.empty() : OptionalLong.of(current.revision());
        return revision.equals(change.base());
    }

    private Outcome conflict(Change change, EntityKey key) {
        Entity current = entities.get(key);
        Optional<String> winner =
                current == null ? Optional.ofNullable(tombstones.get(key)) : Optional.of(current.changeId());
        String message = current == null
                ? key + " does not exist"
                : key + " is at revision " + current.revision() + ", which is not the base revision of the change";
        return new Outcome(change.id(), offset, Optional.of(RejectionCode.CONFLICT), winner, message);
    }

    private boolean exceedsLimits(Change change) {
        long count = entities.size();
        long size = characters;
        for (EntityChange entity : change.entities()) {
            Entity current = entities.get(entity.key());
            count += (entity.body().isPresent() ? 1 : 0) - (current == null ? 0 : 1);
            size += charactersOf(change, entity) - charactersOf(current);
        }
        return count > ConfigState.MAX_ENTITIES || size > ConfigState.MAX_CHARACTERS;
    }

    private void writeEntity(Change change, EntityChange entity) {
        EntityKey key = entity.key();
        characters += charactersOf(change, entity) - charactersOf(entities.get(key));
        if (entity.body().isEmpty()) {
            entities.remove(key);
            tombstones.remove(key);
            tombstones.put(key, change.id());
            evictOldest(tombstones, ConfigState.MAX_TOMBSTONES);
            return;
        }
        entities.put(key, new Entity(key, offset, change.id(), versionsAfter(change, entity)));
        tombstones.remove(key);
    }

    private ImmutableList<Entity.Version> versionsAfter(Change change, EntityChange entity) {
        Entity current = entities.get(entity.key());
        ImmutableList<Entity.Version> earlier = current == null ? ImmutableList.of() : current.versions();
        return entity.body()
                .map(body -> Entity.appendVersion(
                        earlier, new Entity.Version(change.schema(), change.requires(), body.deepCopy())))
                .orElseGet(ImmutableList::of);
    }

    private long charactersOf(Change change, EntityChange entity) {
        return Entity.snapshotCharacters(entity.key(), versionsAfter(change, entity));
    }

    private static long charactersOf(Entity entity) {
        return entity == null ? 0 : Entity.snapshotCharacters(entity.key(), entity.versions());
    }

    private void recordOutcome(Outcome outcome) {
        // Messages include texts of libraries that differ between versions of the program, but states must be equal.
        outcomes.put(outcome.changeId(), outcome.withoutMessage());
        evictOldest(outcomes, ConfigState.MAX_OUTCOMES);
    }

    private static <K, V> void evictOldest(Map<K, V> map, int max) {
        if (map.size() > max) {
            Map.Entry<K, V> oldest = map.entrySet().iterator().next();
            map.remove(oldest.getKey());
        }
    }

    private static Optional<String> parseChangeId(String text) {
        if (text.length() > Change.MAX_CHARACTERS) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(
                            RecordJson.MAPPER.readTree(text).path("change").textValue())
                    .filter(Names::isValid);
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
