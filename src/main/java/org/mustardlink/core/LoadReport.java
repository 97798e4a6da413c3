package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Load of a target as reported by the target itself in its answers.
 *
 * @param busy number of slots in use
 * @param slots total number of slots
 */
public record LoadReport(int busy, int slots) {
    public LoadReport {
        checkArgument(busy >= 0, "busy must not be negative: %s", busy);
        checkArgument(slots >= 0, "slots must not be negative: %s", slots);
    }
}
