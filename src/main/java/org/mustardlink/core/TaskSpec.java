package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a caller asks of one task.
 *
 * @param payload opaque text that the target receives
 * @param declaredMs run time that the caller expects on a target of speed 1, in milliseconds, positive
 */
public record TaskSpec(String payload, long declaredMs) {
    /** Longest declared run time, in milliseconds. */
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
