package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests when a caller that cancels a job gets its answer, if other hosts were asked to cancel the job. */
final class CancellationsTest {
    private final Cancellations cancellations = new Cancellations();
    private final List<Boolean> answers = new ArrayList<>();

    @Test
    void the_caller_is_answered_when_the_first_host_reports_that_it_had_the_job() {
        cancellations.add("job", ImmutableSet.of("a", "b"), answers::add, 0);

        cancellations.recordAnswer("a", "job", true);
        cancellations.recordAnswer("b", "job", false);

        assertThat(answers).containsExactly(true);
    }

    @Test
    void the_job_is_not_found_when_no_host_had_it_or_none_answers_in_time() {
        cancellations.add("job", ImmutableSet.of("a", "b"), answers::add, 0);
        cancellations.recordAnswer("a", "job", false);
        cancellations.recordAnswer("b", "job", false);
        cancellations.add("other", ImmutableSet.of("a"), answers::add, 0);
        cancellations.expire(TimeUnit.MILLISECONDS.toNanos(401));
        cancellations.add("third", ImmutableSet.of(), answers::add, 0);

        assertThat(answers).containsExactly(false, false, false);
    }

    /** Guards against a caller that never gets an answer because another one cancels the same job. */
    @Test
    void each_of_two_callers_that_cancel_one_job_gets_an_answer() {
        cancellations.add("job", ImmutableSet.of("a"), answers::add, 0);
        cancellations.add("job", ImmutableSet.of("a"), answers::add, 0);

        cancellations.recordAnswer("a", "job", true);

        assertThat(answers).containsExactly(true, true);
    }

    /** Guards against a cancellation that is lost with a broken link: the job would go on, and its caller get 410. */
    @Test
    void a_host_that_has_not_answered_is_asked_again_over_a_new_link() {
        cancellations.add("job", ImmutableSet.of("a", "b"), answers::add, 0);
        cancellations.recordAnswer("a", "job", false);

        assertThat(cancellations.jobsUnansweredBy("a")).isEmpty();
        assertThat(cancellations.jobsUnansweredBy("b")).containsExactly("job");
    }

    /** Guards against timers that fail in each pass, so that pending starts are no longer announced to other hosts. */
    @Test
    void a_caller_whose_answer_fails_is_answered_once_and_the_others_are_answered() {
        cancellations.add(
                "job",
                ImmutableSet.of("a"),
                _found -> {
                    throw new IllegalStateException("planted");
                },
                0);
        cancellations.add("job", ImmutableSet.of("a"), answers::add, 0);

        assertThrows(IllegalStateException.class, () -> cancellations.recordAnswer("a", "job", true));
        cancellations.expire(TimeUnit.MILLISECONDS.toNanos(401));
        cancellations.expire(TimeUnit.MILLISECONDS.toNanos(402));

        assertThat(answers).containsExactly(true);
    }
}
