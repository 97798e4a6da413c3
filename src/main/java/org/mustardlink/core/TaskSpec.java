package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A task as submitted by a caller.
 *
 * @param payload opaque text that is passed to the target
 * @param declaredMs run time that the caller expects on a target of speed 1, in milliseconds, positive
 */
public record TaskSpec(String payload, long declaredMs) {
    /** Maximum declared run time, in milliseconds. */
    public static final long MAX_DECLARED_MS = 3_600_000;

    public TaskSpec {
        checkNotNull(payload, "payload");
        checkArgument(
                declaredMs > 0 && declaredMs <= MAX_DECLARED_MS,
                "declaredMs must be in 1..%s: %s",
                MAX_DECLARED_MS,
                declaredMs);
    }
}
