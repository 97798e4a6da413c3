package org.mustardlink.host;

import java.util.HashMap;
import java.util.Map;
import org.mustardlink.observe.SizeClass;

/** Classifies jobs by their declared processor time relative to that of earlier jobs of the same route. */
final class JobSizes {
    /** Weight of one job in the moving average, which covers about the last hundred jobs of a route. */
    private static final double JOB_WEIGHT = 0.01;

    private final Map<String, RouteAverage> averagesByRoute = new HashMap<>();

    /** Moving average of the declared processor time of a route's jobs. */
    private static final class RouteAverage {
        private double meanWork;
        private int jobCount;

        private void add(double work) {
            jobCount++;
            meanWork += Math.max(JOB_WEIGHT, 1.0 / jobCount) * (work - meanWork);
        }
    }

    /** Returns the class of an arriving job by the average of the jobs before it, and adds it to that average. */
    SizeClass classify(String route, double work) {
        RouteAverage average = averagesByRoute.computeIfAbsent(route, _route -> new RouteAverage());
        SizeClass size = SizeClass.of(work, average.jobCount == 0 ? work : average.meanWork);
        average.add(work);
        return size;
    }
}
