package org.mustardlink.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class AnswerCheckerTest {
    private static final String JOB = "00000000000000aa";
    private static final String TASK = JOB + ".0.0.0";
    private static final String COMPLETE = "{\"state\":\"complete\"}";
    private static final String FAILED = "{\"state\":\"failed\"}";

    private final List<Violation> violations = new ArrayList<>();
    private final AnswerChecker checker = AnswerChecker.create(violations::add, 2);

    @BeforeEach
    void submitJob() {
        checker.recordSubmission(JOB, 2);
    }

    private List<String> rules() {
        return violations.stream().map(Violation::rule).toList();
    }

    /** Guards against a checker that misses a start after the refusal was received. */
    @Test
    void a_planted_start_after_the_refusal_of_the_only_try_is_reported() {
        checker.recordRefusal(JOB, 500);
        checker.recordStart("target-1", TASK, 510);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_REFUSED);
    }

    /** Guards against a refusal that was untrue when it was sent. */
    @Test
    void a_planted_refusal_of_a_job_that_has_started_is_reported() {
        checker.recordStart("target-1", TASK, 400);
        checker.recordRefusal(JOB, 500);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_REFUSED);
    }

    /** Guards against a false report where another try had no answer and may have run. */
    @Test
    void a_start_is_allowed_while_a_try_is_open_or_had_no_answer() {
        checker.recordUnknownOutcome(JOB);
        checker.recordSubmission(JOB, 2);
        checker.recordStart("target-1", TASK, 400);
        checker.recordRefusal(JOB, 500);

        assertThat(violations).isEmpty();
    }

    /** Guards against a checker that takes an answer for whole without asking the targets. */
    @Test
    void a_planted_complete_answer_without_all_tasks_is_reported() {
        checker.recordStart("target-1", TASK, 400);
        checker.recordEnd(TASK, "done");
        checker.recordAnswer(JOB, 200, COMPLETE, 500);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_WHOLE);
    }

    /** Guards against a false report of a whole answer. */
    @Test
    void a_complete_answer_after_all_tasks_are_done_is_allowed() {
        checker.recordEnd(TASK, "done");
        checker.recordEnd(JOB + ".0.0.1", "done");
        checker.recordAnswer(JOB, 200, COMPLETE, 500);

        assertThat(violations).isEmpty();
    }

    /** Guards against a job that is given up before its task has failed as often as the configuration says. */
    @Test
    void a_planted_failed_answer_after_too_few_failures_is_reported() {
        checker.recordEnd(TASK, "failed");
        checker.recordAnswer(JOB, 200, FAILED, 500);
        assertThat(rules()).containsExactly(AnswerChecker.RULE_WHOLE);

        checker.recordSubmission(JOB, 2);
        checker.recordEnd(TASK, "failed");
        checker.recordAnswer(JOB, 200, FAILED, 600);

        assertThat(violations).hasSize(1);
    }

    /** Guards against an answer that the callers don't know. */
    @Test
    void a_planted_answer_of_another_kind_is_reported() {
        checker.recordAnswer(JOB, 404, "", 500);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_ANSWER);
    }

    /** Guards against a start that nobody asked for. */
    @Test
    void a_planted_start_of_an_unknown_job_is_reported() {
        checker.recordStart("target-1", "00000000000000bb.0.0.0", 500);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_ANSWER);
    }
}
