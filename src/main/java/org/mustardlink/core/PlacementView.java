package org.mustardlink.core;

import java.util.List;

/**
 * State of the targets of one service at one moment.
 *
 * @param free targets that may take a task now
 * @param usable targets that may take a task now or as soon as a running task ends
 * @param offeredLoad moving average of the capacity in use, as the sum of the speeds of the busy slots
 * @param now monotonic time in nanoseconds
 */
public record PlacementView(
        List<? extends TargetView> free, List<? extends TargetView> usable, double offeredLoad, long now) {}
