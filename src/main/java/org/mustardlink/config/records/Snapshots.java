package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Streams;
import java.util.Comparator;
import java.util.Optional;

/** Serializes states as JSON. Equal states have equal texts, so all hosts write the same snapshot of an offset. */
public final class Snapshots {
    private static final int FORMAT = 1;

    private Snapshots() {}

    /** Returns the snapshot of a state. */
    public static String write(ConfigState state) {
        ObjectNode root = RecordJson.MAPPER.createObjectNode();
        root.put("format", FORMAT).put("offset", state.offset());
        state.entities()
                .values()
                .forEach(
                        entity -> writeEntity(entity, root.withArray("entities").addObject()));
        state.outcomes()
                .values()
                .forEach(outcome ->
                        writeOutcome(outcome, root.withArray("outcomes").addObject()));
        state.tombstones()
                .forEach((key, change) -> root.withArray("tombstones")
                        .addObject()
                        .put("kind", key.kind())
                        .put("name", key.name())
                        .put("change", change));
        try {
            return RecordJson.MAPPER.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a snapshot cannot be serialized as JSON", e);
        }
    }

    /**
     * Parses a snapshot.
     *
     * @throws RejectedChangeException with {@link RejectionCode#MALFORMED} if the text is not a snapshot of a known format
     */
    public static ConfigState read(String text) {
        try {
            JsonNode root = RecordJson.MAPPER.readTree(text);
            checkArgument(root.path("format").asInt() == FORMAT, "unknown snapshot format: %s", root.path("format"));
            checkArgument(root.path("offset").canConvertToLong(), "offset is missing or not an integer");
            ImmutableSortedMap<EntityKey, Entity> entities = Streams.stream(root.path("entities"))
                    .map(Snapshots::readEntity)
                    .collect(ImmutableSortedMap.toImmutableSortedMap(
                            Comparator.naturalOrder(), Entity::key, entity -> entity));
            ImmutableMap.Builder<String, Outcome> outcomes = ImmutableMap.builder();
            root.path("outcomes")
                    .forEach(node -> outcomes.put(node.path("change").asText(), readOutcome(node)));
            ImmutableMap.Builder<EntityKey, String> tombstones = ImmutableMap.builder();
            root.path("tombstones")
                    .forEach(node ->
                            tombstones.put(keyOf(node), node.path("change").asText()));
            return new ConfigState(
                    root.path("offset").longValue(),
                    entities.values().stream()
                            .mapToLong(entity -> Entity.snapshotCharacters(entity.key(), entity.versions()))
                            .sum(),
                    entities,
                    outcomes.buildOrThrow(),
                    tombstones.buildOrThrow());
        } catch (JsonProcessingException | IllegalArgumentException | ClassCastException e) {
            throw new RejectedChangeException(RejectionCode.MALFORMED, "invalid snapshot: " + e.getMessage(), e);
        }
    }

    private static void writeEntity(Entity entity, ObjectNode node) {
        node.put("kind", entity.key().kind())
                .put("name", entity.key().name())
                .put("revision", entity.revision())
                .put("change", entity.changeId());
        for (Entity.Version version : entity.versions()) {
            ObjectNode versionNode = node.withArray("versions").addObject();
            versionNode.put("schema", version.schema());
            version.requires().forEach(versionNode.putArray("requires")::add);
            versionNode.set("body", version.body());
        }
    }

    private static Entity readEntity(JsonNode node) {
        ImmutableList.Builder<Entity.Version> versions = ImmutableList.builder();
        for (JsonNode versionNode : node.path("versions")) {
            ImmutableSet.Builder<String> requires = ImmutableSet.builder();
            versionNode.path("requires").forEach(feature -> requires.add(feature.asText()));
            versions.add(new Entity.Version(
                    versionNode.path("schema").asInt(), requires.build(), (ObjectNode) versionNode.get("body")));
        }
        return new Entity(
                keyOf(node), node.path("revision").asLong(), node.path("change").asText(), versions.build());
    }

    private static void writeOutcome(Outcome outcome, ObjectNode node) {
        node.put("change", outcome.changeId()).put("offset", outcome.offset());
        outcome.code().ifPresent(code -> node.put("code", code.name()));
        outcome.winningChangeId().ifPresent(winner -> node.put("winner", winner));
    }

    private static Outcome readOutcome(JsonNode node) {
        return new Outcome(
                node.path("change").asText(),
                node.path("offset").asLong(),
                Optional.ofNullable(node.path("code").textValue()).map(RejectionCode::valueOf),
                Optional.ofNullable(node.path("winner").textValue()),
                "");
    }

    private static EntityKey keyOf(JsonNode node) {
        return new EntityKey(node.path("kind").asText(), node.path("name").asText());
    }
}
