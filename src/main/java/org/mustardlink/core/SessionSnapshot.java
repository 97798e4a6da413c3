package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableLongArray;

/**
 * A closed session as one entry host hands it over to another.
 *
 * @param id the session
 * @param used its used numbers: runs of the index of a chunk of 512 numbers and the eight words of its bitmap
 */
public record SessionSnapshot(SessionId id, ImmutableLongArray used) {
    public SessionSnapshot {
        checkNotNull(id, "id");
        checkNotNull(used, "used");
    }
}
