package org.mustardlink.drain;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * An entry host's report on a target.
 *
 * @param draining whether the host has stopped sending new tasks to the target
 * @param outstanding number of the host's tasks in flight at the target
 * @param remaining time until the last task in flight is expected to end, based on the longest recorded run time
 * @param reason why the target is drained, empty if it is not drained
 */
public record TargetReport(boolean draining, int outstanding, Duration remaining, String reason) {
    public TargetReport {
        checkArgument(outstanding >= 0, "outstanding must not be negative: %s", outstanding);
        checkNotNull(remaining, "remaining");
        checkNotNull(reason, "reason");
    }
}
