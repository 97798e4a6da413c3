package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.util.Arrays;

/**
 * Validates the bodies of entities before they are accepted into the configuration.
 *
 * <p>The rules are part of the record format. Every version must apply the same rules, so they must not become stricter
 * or more lenient after a release. A newer version may add checks only for new fields listed in {@code requires}, or in
 * {@link ConfigView}.
 */
public final class BodyRules {
    private static final ImmutableMap<String, Kind> KINDS_BY_NAME =
            Arrays.stream(Kind.values()).collect(ImmutableMap.toImmutableMap(Kind::wireName, kind -> kind));

    private BodyRules() {}

    /**
     * Validates a body. Bodies of unknown kinds are always valid.
     *
     * @throws RejectedChangeException with {@link RejectionCode#INVALID_BODY} if the body is invalid
     */
    public static void validate(EntityKey key, ObjectNode body) {
        Kind kind = KINDS_BY_NAME.get(key.kind());
        if (kind == null) {
            return;
        }
        try {
            validateBody(kind, key.name(), body);
        } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
            throw new RejectedChangeException(
                    RejectionCode.INVALID_BODY, key + ": " + String.valueOf(e.getMessage()), e);
        }
    }

    /** Returns whether this version knows a kind, given the name that records use for it. */
    public static boolean isKnownKind(String kindName) {
        return KINDS_BY_NAME.containsKey(kindName);
    }

    static <T> T read(ObjectNode body, Class<T> type) throws JsonProcessingException {
        return RecordJson.MAPPER.treeToValue(body, type);
    }

    private static void validateBody(Kind kind, String name, ObjectNode body) throws JsonProcessingException {
        switch (kind) {
            case SERVICE -> read(body, ServiceBody.class);
            case TARGET -> checkTarget(name, read(body, TargetBody.class));
            case TEAM -> read(body, TeamBody.class);
            case WINDOW -> read(body, WindowBody.class);
            case DRAIN -> read(body, DrainBody.class);
            case POLICY -> body.forEach(BodyRules::checkParameter);
        }
    }

    private static void checkTarget(String name, TargetBody target) {
        checkArgument(target.id().equals(name), "id of the target must equal the name of the entity: %s", target.id());
    }

    private static void checkParameter(JsonNode value) {
        checkArgument(
                value.isValueNode(), "a policy parameter must not be an object or an array: %s", value.getNodeType());
    }
}
