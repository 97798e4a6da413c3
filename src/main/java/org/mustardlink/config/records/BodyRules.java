package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.util.Arrays;

/**
 * Rules that decide whether a body is accepted into the configuration.
 *
 * <p>They are part of the record format: every version applies the same ones, so they must not be made stricter or
 * laxer after a release. A newer version checks more only through new fields with {@code requires} or in {@link
 * ConfigView}.
 */
public final class BodyRules {
    private static final ImmutableMap<String, Kind> KINDS_BY_NAME =
            Arrays.stream(Kind.values()).collect(ImmutableMap.toImmutableMap(Kind::wireName, kind -> kind));

    private BodyRules() {}

    /**
     * Checks a body. Bodies of unknown kinds always pass.
     *
     * @throws RejectedChangeException with {@link RejectionCode#INVALID_BODY}
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

    /** Returns whether this version knows the kind. */
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
        checkArgument(target.id().equals(name), "id must equal the name: %s", target.id());
    }

    private static void checkParameter(JsonNode value) {
        checkArgument(value.isValueNode(), "a policy parameter must be a plain value: %s", value.getNodeType());
    }
}
