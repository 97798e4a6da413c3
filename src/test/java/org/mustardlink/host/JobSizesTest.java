package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.mustardlink.observe.SizeClass;

/** Tests the classes by which operators see whether large jobs are served as often as small ones. */
final class JobSizesTest {
    private final JobSizes sizes = new JobSizes();

    private void classifyRepeatedly(String route, double work, int count) {
        for (int i = 0; i < count; i++) {
            assertThat(sizes.classify(route, work)).isNotNull();
        }
    }

    /** Guards against jobs at a bound that fall into no class or change their class with the route. */
    @Test
    void classes_are_bounded_by_half_the_mean_the_mean_and_twice_the_mean() {
        assertThat(SizeClass.of(49, 100)).isEqualTo(SizeClass.BELOW_HALF);
        assertThat(SizeClass.of(50, 100)).isEqualTo(SizeClass.UP_TO_MEAN);
        assertThat(SizeClass.of(100, 100)).isEqualTo(SizeClass.UP_TO_MEAN);
        assertThat(SizeClass.of(101, 100)).isEqualTo(SizeClass.UP_TO_TWICE);
        assertThat(SizeClass.of(200, 100)).isEqualTo(SizeClass.UP_TO_TWICE);
        assertThat(SizeClass.of(201, 100)).isEqualTo(SizeClass.ABOVE_TWICE);
        assertThat(SizeClass.of(0, 0)).isEqualTo(SizeClass.UP_TO_MEAN);
    }

    /** Guards against a large job that hides in the mean because it counts towards it itself. */
    @Test
    void a_job_is_compared_with_the_jobs_before_it() {
        assertThat(sizes.classify("queue", 10)).isEqualTo(SizeClass.UP_TO_MEAN);
        assertThat(sizes.classify("queue", 21)).isEqualTo(SizeClass.ABOVE_TWICE);
    }

    /** Guards against a route with long jobs whose small jobs all count as large. */
    @Test
    void each_route_has_a_mean_of_its_own() {
        classifyRepeatedly("long", 1_000, 10);
        classifyRepeatedly("short", 10, 10);

        assertThat(sizes.classify("long", 400)).isEqualTo(SizeClass.BELOW_HALF);
        assertThat(sizes.classify("short", 25)).isEqualTo(SizeClass.ABOVE_TWICE);
    }

    /** Guards against classes that stay those of the first jobs when the jobs of a route change. */
    @Test
    void the_mean_follows_the_last_few_hundred_jobs() {
        classifyRepeatedly("queue", 10, 1_000);
        assertThat(sizes.classify("queue", 30)).isEqualTo(SizeClass.ABOVE_TWICE);

        classifyRepeatedly("queue", 30, 300);
        assertThat(sizes.classify("queue", 30)).isEqualTo(SizeClass.UP_TO_TWICE);
        assertThat(sizes.classify("queue", 14)).isEqualTo(SizeClass.BELOW_HALF);
    }
}
