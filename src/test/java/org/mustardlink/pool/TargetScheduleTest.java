package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;

/** Tests when a run fits on a target beside the runs that are present and planned there. */
final class TargetScheduleTest {
    private static final long NOW = 1_000;
    private static final PoolTarget TARGET = new PoolTarget(
            new TargetEntry(
                    "t0",
                    0,
                    InetSocketAddress.createUnresolved("t0", 1),
                    new PoolId("yard", "east"),
                    false,
                    cpu(16),
                    ImmutableSet.of("a")),
            FencingToken.firstOfRound(1, 1),
            1_000,
            1,
            NOW);

    private final TargetSchedule schedule = TargetSchedule.of(TARGET, NOW);

    private static Capacity cpu(int cores) {
        return new Capacity(cores * 1_000, 0, 0);
    }

    private static TargetSchedule.Slot slot(long startNanos, long endNanos, int cores) {
        return new TargetSchedule.Slot(startNanos, endNanos, cpu(cores));
    }

    /** Guards against idle targets that count as occupied. */
    @Test
    void a_run_fits_now_on_an_idle_target() {
        assertThat(schedule.fitsNow(cpu(16), 100)).isTrue();
        assertThat(schedule.earliestStartNanos(cpu(16), 100)).hasValue(NOW);
    }

    /** Guards against a reservation that names a time at which the target is still full. */
    @Test
    void a_run_starts_at_the_first_end_that_leaves_enough_capacity() {
        schedule.add(slot(NOW, 1_200, 4));
        schedule.add(slot(NOW, 1_300, 8));

        assertThat(schedule.earliestStartNanos(cpu(4), 100)).hasValue(NOW);
        assertThat(schedule.earliestStartNanos(cpu(8), 100)).hasValue(1_200);
        assertThat(schedule.earliestStartNanos(cpu(9), 100)).hasValue(1_300);
    }

    /** Guards against a long run that occupies reserved capacity, and against capacity that is idle until then. */
    @Test
    void before_a_planned_run_only_runs_that_end_by_then_use_its_capacity() {
        schedule.add(slot(1_200, 1_500, 12));

        assertThat(schedule.fitsNow(cpu(8), 200)).isTrue();
        assertThat(schedule.fitsNow(cpu(8), 201)).isFalse();
        assertThat(schedule.fitsNow(cpu(4), 1_000)).isTrue();
        assertThat(schedule.earliestStartNanos(cpu(8), 201)).hasValue(1_500);
    }

    /** Guards against planned runs that stay in the schedule although their job isn't started. */
    @Test
    void a_removed_run_frees_its_capacity() {
        TargetSchedule.Slot planned = slot(NOW, 1_500, 12);
        schedule.add(planned);
        schedule.remove(planned);

        assertThat(schedule.fitsNow(cpu(16), 100)).isTrue();
    }

    /** Guards against a reservation behind a run whose end isn't known, and on a target that is too small. */
    @Test
    void there_is_no_start_behind_a_run_of_unknown_end_or_on_a_smaller_target() {
        schedule.add(slot(NOW, Long.MAX_VALUE, 12));

        assertThat(schedule.earliestStartNanos(cpu(8), 100)).isEmpty();
        assertThat(TargetSchedule.of(TARGET, NOW).earliestStartNanos(cpu(17), 100))
                .isEmpty();
    }
}
