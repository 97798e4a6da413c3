package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * What one entry host has at a target.
 *
 * @param draining whether the host gives the target no new work
 * @param outstanding tasks of the host in flight at the target
 * @param remaining time until the last of them is expected to end, from the longest run time seen
 * @param reason why the target is drained, empty if it is not
 */
public record TargetReport(boolean draining, int outstanding, Duration remaining, String reason) {
    public TargetReport {
        checkArgument(outstanding >= 0, "outstanding must not be negative: %s", outstanding);
        checkNotNull(remaining, "remaining");
        checkNotNull(reason, "reason");
    }
}
