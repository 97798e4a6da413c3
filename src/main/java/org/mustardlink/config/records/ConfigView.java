package org.mustardlink.config.records;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Lists;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.mustardlink.core.TargetSpec;

/**
 * The part of a configuration that a host with a given schema support acts on.
 *
 * @param offset offset of the state that the view was derived from
 * @param services services by name
 * @param targets declared targets, sorted by name
 * @param teams teams by name
 * @param windows weekly windows by name
 * @param policies policy parameters by name
 * @param drains operators' drain and release orders by name
 * @param unsupported reasons why the newest body of an entity cannot be acted on; an older body may be in force instead
 */
public record ConfigView(
        long offset,
        ImmutableMap<String, ServiceBody> services,
        ImmutableList<TargetSpec> targets,
        ImmutableMap<String, TeamBody> teams,
        ImmutableMap<String, WindowBody> windows,
        ImmutableMap<String, ObjectNode> policies,
        ImmutableMap<String, DrainBody> drains,
        ImmutableMap<EntityKey, String> unsupported) {

    /** Returns the view of a state for a host with the given schema support. */
    public static ConfigView of(ConfigState state, Schemas schemas) {
        Map<EntityKey, String> unsupported = new LinkedHashMap<>();
        Map<EntityKey, ObjectNode> bodies = new LinkedHashMap<>();
        for (Entity entity : state.entities().values()) {
            if (!isUsable(entity.key(), entity.newest(), schemas)) {
                unsupported.put(
                        entity.key(),
                        "schema " + entity.newest().schema() + " requires "
                                + entity.newest().requires());
            }
            newestUsableBody(entity, schemas).ifPresent(body -> bodies.put(entity.key(), body));
        }
        return new ConfigView(
                state.offset(),
                selectKind(bodies, Kind.SERVICE, ServiceBody.class),
                selectKind(bodies, Kind.TARGET, TargetBody.class).values().stream()
                        .map(TargetBody::toSpec)
                        .collect(ImmutableList.toImmutableList()),
                selectKind(bodies, Kind.TEAM, TeamBody.class),
                selectKind(bodies, Kind.WINDOW, WindowBody.class),
                selectKind(bodies, Kind.POLICY, ObjectNode.class),
                selectKind(bodies, Kind.DRAIN, DrainBody.class),
                ImmutableMap.copyOf(unsupported));
    }

    private static Optional<ObjectNode> newestUsableBody(Entity entity, Schemas schemas) {
        return Lists.reverse(entity.versions()).stream()
                .filter(version -> isUsable(entity.key(), version, schemas))
                .map(Entity.Version::body)
                .findFirst();
    }

    private static boolean isUsable(EntityKey key, Entity.Version version, Schemas schemas) {
        return schemas.supports(version) && BodyRules.isKnownKind(key.kind()) && hasKnownTimeZone(key, version.body());
    }

    // The known time zones depend on the Java runtime, so they must not decide whether a record is accepted.
    private static boolean hasKnownTimeZone(EntityKey key, ObjectNode body) {
        if (!key.kind().equals(Kind.WINDOW.wireName())) {
            return true;
        }
        try {
            BodyRules.read(body, WindowBody.class).zoneId();
            return true;
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return false;
        }
    }

    private static <T> ImmutableMap<String, T> selectKind(Map<EntityKey, ObjectNode> bodies, Kind kind, Class<T> type) {
        ImmutableMap.Builder<String, T> selected = ImmutableMap.builder();
        bodies.forEach((key, body) -> {
            if (key.kind().equals(kind.wireName())) {
                selected.put(key.name(), type.cast(readAccepted(body, type)));
            }
        });
        return selected.buildOrThrow();
    }

    private static <T> T readAccepted(ObjectNode body, Class<T> type) {
        try {
            return BodyRules.read(body, type);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the body of an accepted record cannot be parsed", e);
        }
    }
}
