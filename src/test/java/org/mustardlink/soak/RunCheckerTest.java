package org.mustardlink.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RunCheckerTest {
    private static final String TASK = "00000000000000aa.0.0.3";

    private final List<Violation> violations = new ArrayList<>();
    private final RunChecker checker = RunChecker.create(violations::add);

    /** Guards against a checker that misses a second run during the first, or reports the wrong runs. */
    @Test
    void overlapping_second_run_is_reported_once_with_both_times() {
        checker.recordStart("target-1", 8, TASK, 1, 100);
        checker.recordStart("target-2", 8, TASK, 2, 400);
        checker.recordEnd("target-1", TASK, 1, "done", 500);
        checker.recordEnd("target-2", TASK, 2, "stopped", 700);
        checker.checkUnfinishedRuns();

        assertThat(violations).hasSize(1);
        assertThat(violations.get(0).format(7))
                .isEqualTo("VIOLATION seed=7 second=0.400 rule=TWICE job=00000000000000aa task=" + TASK
                        + " run 1 on target-1 100..500 ms (done), run 2 on target-2 400.. ms (running)");
    }

    /**
     * Guards against a false violation for a run whose lease has expired, but whose end is recorded after the next
     * start.
     */
    @Test
    void run_whose_end_is_recorded_late_does_not_overlap_a_later_run() {
        checker.recordStart("target-1", 8, TASK, 1, 100);
        checker.recordStart("target-2", 8, TASK, 2, 1_200);
        checker.recordEnd("target-2", TASK, 2, "done", 1_300);
        checker.recordEnd("target-1", TASK, 1, "lapsed", 1_100);
        checker.checkUnfinishedRuns();

        assertThat(violations).isEmpty();
    }

    /** Guards against a checker that detects overlaps only between ended runs. */
    @Test
    void two_unfinished_runs_are_reported_by_the_final_check() {
        checker.recordStart("target-1", 8, TASK, 1, 100);
        checker.recordStart("target-2", 8, TASK, 2, 1_200);
        assertThat(violations).isEmpty();

        checker.checkUnfinishedRuns();

        assertThat(violations.stream().map(Violation::rule)).containsExactly(RunChecker.RULE_TWICE);
    }

    /** Guards against a checker that misses a run that both starts and ends during another run. */
    @Test
    void run_within_another_run_is_reported() {
        checker.recordStart("target-1", 8, TASK, 1, 100);
        checker.recordStart("target-2", 8, TASK, 2, 200);
        checker.recordEnd("target-2", TASK, 2, "done", 300);
        checker.recordEnd("target-1", TASK, 1, "done", 400);

        assertThat(violations.stream().map(Violation::rule)).containsExactly(RunChecker.RULE_TWICE);
    }

    /** Guards against a checker that still counts ended runs, or does not count running ones. */
    @Test
    void start_beyond_the_slots_of_the_target_is_reported() {
        checker.recordStart("target-1", 2, "00000000000000aa.0.0.0", 1, 100);
        checker.recordStart("target-1", 2, "00000000000000aa.0.0.1", 1, 100);
        checker.recordEnd("target-1", "00000000000000aa.0.0.0", 1, "done", 150);
        checker.recordStart("target-1", 2, "00000000000000aa.0.0.2", 1, 160);
        assertThat(violations).isEmpty();

        checker.recordStart("target-1", 2, "00000000000000aa.0.0.3", 1, 170);

        assertThat(violations.stream().map(Violation::rule)).containsExactly(RunChecker.RULE_ROOM);
    }
}
