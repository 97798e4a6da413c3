package org.mustardlink.capacity;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.math.LinearTransformation;
import com.google.common.math.PairedStatsAccumulator;

/**
 * A cost measured at several sizes, and the straight line that fits it best by least squares.
 *
 * @param name name of the quantity that was varied
 * @param unit unit of the cost
 * @param points the measurements, at least three
 */
public record CostSlope(String name, String unit, ImmutableList<Point> points) {
    public CostSlope {
        checkNotNull(name, "name");
        checkNotNull(unit, "unit");
        checkArgument(points.size() >= 3, "a slope needs measurements at three sizes or more, got %s", points.size());
    }

    /**
     * One measurement.
     *
     * @param size number of items
     * @param cost cost in the unit of the slope
     */
    public record Point(long size, double cost) {}

    /** Returns the cost of one additional item: the slope of the fitted line. */
    public double costPerUnit() {
        return fitLine().slope();
    }

    /** Returns the cost at size 0: the intercept of the fitted line. */
    public double fixedCost() {
        return fitLine().transform(0);
    }

    private LinearTransformation fitLine() {
        PairedStatsAccumulator stats = new PairedStatsAccumulator();
        points.forEach(point -> stats.add((double) point.size(), point.cost()));
        return stats.leastSquaresFit();
    }
}
