package org.mustardlink.core;

import java.util.List;

/**
 * The targets of one service at one moment.
 *
 * @param free targets that may take a task now
 * @param usable every target that may take a task now or once a running one ends
 * @param offeredLoad recent mean of the capacity in use, as the sum of the speeds of the busy slots
 * @param now monotonic time in nanoseconds
 */
public record PlacementView(
        List<? extends TargetView> free, List<? extends TargetView> usable, double offeredLoad, long now) {}
