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

    /** Guards against a checker that misses the start of a job whose refusal was already received. */
    @Test
    void start_after_refusal_of_the_only_submission_is_reported() {
        checker.recordRefusal(JOB, 500);
        checker.recordStart("target-1", TASK, 510);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_REFUSED);
    }

    /** Guards against a checker that accepts the refusal of a job that had already started. */
    @Test
    void refusal_of_a_started_job_is_reported() {
        checker.recordStart("target-1", TASK, 400);
        checker.recordRefusal(JOB, 500);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_REFUSED);
    }

    /** Guards against a false violation when another submission of the job had no answer and may have run it. */
    @Test
    void start_is_allowed_if_a_submission_is_open_or_had_no_answer() {
        checker.recordUnknownOutcome(JOB);
        checker.recordSubmission(JOB, 2);
        checker.recordStart("target-1", TASK, 400);
        checker.recordRefusal(JOB, 500);

        assertThat(violations).isEmpty();
    }

    /**
     * Guards against a checker that accepts the answer "complete" without comparing it with the runs on the targets.
     */
    @Test
    void complete_answer_without_all_tasks_is_reported() {
        checker.recordStart("target-1", TASK, 400);
        checker.recordEnd(TASK, "done");
        checker.recordAnswer(JOB, 200, COMPLETE, 500);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_WHOLE);
    }

    /** Guards against a false violation for a correct answer. */
    @Test
    void complete_answer_after_all_tasks_are_completed_is_allowed() {
        checker.recordEnd(TASK, "done");
        checker.recordEnd(JOB + ".0.0.1", "done");
        checker.recordAnswer(JOB, 200, COMPLETE, 500);

        assertThat(violations).isEmpty();
    }

    /** Guards against a checker that accepts a failed job although no task has used up its configured attempts. */
    @Test
    void failed_answer_after_too_few_failures_is_reported() {
        checker.recordEnd(TASK, "failed");
        checker.recordAnswer(JOB, 200, FAILED, 500);
        assertThat(rules()).containsExactly(AnswerChecker.RULE_WHOLE);

        checker.recordSubmission(JOB, 2);
        checker.recordEnd(TASK, "failed");
        checker.recordAnswer(JOB, 200, FAILED, 600);

        assertThat(violations).hasSize(1);
    }

    /** Guards against a checker that accepts an answer of an unknown kind. */
    @Test
    void answer_of_an_unknown_kind_is_reported() {
        checker.recordAnswer(JOB, 404, "", 500);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_ANSWER);
    }

    /** Guards against a checker that accepts the start of a job that was never submitted. */
    @Test
    void start_of_an_unknown_job_is_reported() {
        checker.recordStart("target-1", "00000000000000bb.0.0.0", 500);

        assertThat(rules()).containsExactly(AnswerChecker.RULE_ANSWER);
    }
}
