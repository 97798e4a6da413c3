package org.mustardlink.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.math.LinearTransformation;
import com.google.common.math.PairedStatsAccumulator;

/**
 * A cost measured at several sizes, with its least-squares line.
 *
 * @param name what was varied
 * @param unit unit of the cost
 * @param points the measurements, at least three
 */
public record CostSlope(String name, String unit, ImmutableList<Point> points) {
    public CostSlope {
        checkNotNull(name, "name");
        checkNotNull(unit, "unit");
        checkArgument(points.size() >= 3, "a slope needs at least three sizes: %s", points.size());
    }

    /**
     * One measurement.
     *
     * @param size how many there were
     * @param cost the cost in the slope's unit
     */
    public record Point(long size, double cost) {}

    /** Returns the cost of one more, in the slope's unit. */
    public double costPerUnit() {
        return fitLine().slope();
    }

    /** Returns the cost at size 0 on the fitted line, in the slope's unit. */
    public double fixedCost() {
        return fitLine().transform(0);
    }

    private LinearTransformation fitLine() {
        PairedStatsAccumulator stats = new PairedStatsAccumulator();
        points.forEach(point -> stats.add((double) point.size(), point.cost()));
        return stats.leastSquaresFit();
    }
}
