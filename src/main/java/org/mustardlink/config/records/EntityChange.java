package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a change does to one entity.
 *
 * @param key the entity
 * @param base revision that the change is based on; empty when the entity must not exist
 * @param body the new body; empty deletes the entity
 */
public record EntityChange(EntityKey key, OptionalLong base, Optional<ObjectNode> body) {
    public EntityChange {
        checkNotNull(key, "key");
        checkNotNull(base, "base");
        checkNotNull(body, "body");
    }
}
