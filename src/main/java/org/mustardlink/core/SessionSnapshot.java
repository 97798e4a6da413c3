package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.ImmutableLongArray;

/**
 * A closed session in the form in which one entry host hands it over to another.
 *
 * @param id id of the session
 * @param used its used sequence numbers; for each chunk of 512 numbers its index and the eight words of its bitmap
 */
public record SessionSnapshot(SessionId id, ImmutableLongArray used) {
    public SessionSnapshot {
        checkNotNull(id, "id");
        checkNotNull(used, "used");
    }
}
