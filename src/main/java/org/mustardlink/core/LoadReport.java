package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A target's own view of its load, carried on its answers.
 *
 * @param busy slots in use
 * @param slots slots in total
 */
public record LoadReport(int busy, int slots) {
    public LoadReport {
        checkArgument(busy >= 0, "busy must not be negative: %s", busy);
        checkArgument(slots >= 0, "slots must not be negative: %s", slots);
    }
}
