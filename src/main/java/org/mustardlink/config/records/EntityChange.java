package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The part of a change that writes or deletes one entity.
 *
 * @param key key of the entity
 * @param base revision that the entity must have; empty if the entity must not exist
 * @param body the new body; empty to delete the entity
 */
public record EntityChange(EntityKey key, OptionalLong base, Optional<ObjectNode> body) {
    public EntityChange {
        checkNotNull(key, "key");
        checkNotNull(base, "base");
        checkNotNull(body, "body");
    }
}
