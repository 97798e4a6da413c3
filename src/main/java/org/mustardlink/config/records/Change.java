package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A change of the configuration; each change is one record of the log.
 *
 * <p>A record with one entity is {@code {schema, change, kind, name, base, body}}; one with several is {@code {schema,
 * change, entities: [{kind, name, base, body}, ...]}} and is applied atomically. The optional {@code
 * requires} lists features that a reader must support to act on the bodies.
 *
 * @param schema schema version of the bodies, positive
 * @param id id of the change, chosen by the operator's client; a later record with the same id is ignored
 * @param requires features that a reader must support to act on the bodies
 * @param entities changes of entities, at least one, and at most one for each entity
 */
public record Change(int schema, String id, ImmutableSet<String> requires, ImmutableList<EntityChange> entities) {
    /** Maximum length of a record in characters; far below the limits on frames and request bodies. */
    public static final int MAX_CHARACTERS = 256 << 10;

    private static final int MAX_ENTITIES = 500;

    // The JSON parser rejects deeply nested documents, and a snapshot nests a body deeper than the record does.
    private static final int MAX_BODY_DEPTH = 32;

    public Change {
        checkArgument(schema > 0, "schema must be positive: %s", schema);
        Names.check("change", id);
        checkNotNull(requires, "requires");
        checkArgument(!entities.isEmpty(), "a change must contain at least one entity");
        checkArgument(entities.size() <= MAX_ENTITIES, "a change may contain at most %s entities", MAX_ENTITIES);
        Set<EntityKey> seenKeys = new HashSet<>();
        entities.forEach(entity ->
                checkArgument(seenKeys.add(entity.key()), "%s occurs more than once in the change", entity.key()));
    }

    /**
     * Parses a record.
     *
     * @throws RejectedChangeException with {@link RejectionCode#MALFORMED} or {@link RejectionCode#TOO_LARGE}
     */
    public static Change parse(String text) {
        if (text.length() > MAX_CHARACTERS) {
            throw new RejectedChangeException(
                    RejectionCode.TOO_LARGE, "a record may have at most " + MAX_CHARACTERS + " characters");
        }
        try {
            return fromJson(RecordJson.MAPPER.readTree(text));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new RejectedChangeException(RejectionCode.MALFORMED, String.valueOf(e.getMessage()), e);
        }
    }

    /** Returns the record as JSON. */
    public ObjectNode toJson() {
        ObjectNode node = RecordJson.MAPPER.createObjectNode();
        node.put("schema", schema).put("change", id);
        if (!requires.isEmpty()) {
            requires.forEach(node.putArray("requires")::add);
        }
        for (EntityChange entity : entities) {
            ObjectNode entityNode =
                    entities.size() == 1 ? node : node.withArray("entities").addObject();
            entityNode.put("kind", entity.key().kind()).put("name", entity.key().name());
            entity.base().ifPresent(base -> entityNode.put("base", base));
            entityNode.set("body", entity.body().map(ObjectNode::deepCopy).orElse(null));
        }
        return node;
    }

    private static Change fromJson(JsonNode node) {
        checkArgument(node != null && node.isObject(), "a record must be a JSON object");
        checkArgument(node.path("schema").isInt(), "schema must be an integer");
        List<EntityChange> entities = new ArrayList<>();
        if (node.has("entities")) {
            checkArgument(node.get("entities").isArray(), "entities must be an array");
            node.get("entities").forEach(entity -> entities.add(parseEntityChange(entity)));
        } else {
            entities.add(parseEntityChange(node));
        }
        ImmutableSet.Builder<String> requires = ImmutableSet.builder();
        node.path("requires").forEach(feature -> requires.add(feature.asText()));
        return new Change(
                node.get("schema").intValue(),
                requiredText(node, "change"),
                requires.build(),
                ImmutableList.copyOf(entities));
    }

    private static EntityChange parseEntityChange(JsonNode node) {
        JsonNode base = node.path("base");
        JsonNode body = node.path("body");
        boolean deletes = body.isNull() || body.isMissingNode();
        checkArgument(
                base.isMissingNode() || base.isNull() || base.canConvertToExactIntegral(), "base must be an integer");
        checkArgument(deletes || body.isObject(), "body must be an object");
        checkArgument(
                RecordJson.depth(body) <= MAX_BODY_DEPTH,
                "a body may be nested at most %s levels deep",
                MAX_BODY_DEPTH);
        return new EntityChange(
                new EntityKey(requiredText(node, "kind"), requiredText(node, "name")),
                base.isNumber() ? OptionalLong.of(base.longValue()) : OptionalLong.empty(),
                deletes ? Optional.empty() : Optional.of((ObjectNode) body));
    }

    private static String requiredText(JsonNode node, String field) {
        checkArgument(node.path(field).isTextual(), "%s must be a string", field);
        return node.get(field).textValue();
    }
}
