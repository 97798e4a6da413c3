package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests which jobs are refused while more work arrives than a pool can do. */
final class LoadSheddingTest {
    private static final String ROUTE = "batch";
    private static final long SMALL_WORK = 1_000 * TimeUnit.MILLISECONDS.toNanos(100);
    private static final long LARGE_WORK = 10 * SMALL_WORK;
    /** Largest share that is refused of a route, in tenths. */
    private static final int MAX_REFUSED_TENTHS = 7;

    private final LoadShedding shedding = new LoadShedding();

    /** Guards against refusals that fall on the large jobs of a route, so that hardly any of them is served. */
    @Test
    void the_share_refused_of_a_route_is_one_of_its_work_and_not_of_its_jobs() {
        long arrivedWork = 0;
        long refusedWork = 0;
        int jobs = 1_000;
        for (int i = 0; i < jobs; i++) {
            // Of ten jobs, the first, the fourth and the seventh are small.
            long work = i % 10 % 3 == 0 && i % 10 < 9 ? SMALL_WORK : LARGE_WORK;
            long now = TimeUnit.MILLISECONDS.toNanos(i);
            shedding.recordArrival(ROUTE, (double) work, now);
            arrivedWork += work;
            double throughputThatIsFarTooSmall = 1;
            if (shedding.shouldRefuse(ROUTE, (double) work, throughputThatIsFarTooSmall, now)) {
                refusedWork += work;
            }
        }

        assertThat(10 * refusedWork).isAtMost(MAX_REFUSED_TENTHS * arrivedWork);
        assertThat(10 * refusedWork).isAtLeast(MAX_REFUSED_TENTHS * arrivedWork - 10 * LARGE_WORK);
    }
}
