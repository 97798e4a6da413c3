package org.mustardlink.core;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests which state the core keeps of settled jobs. */
class SettledJobsTest {
    private static final int JOBS = 20_000;
    private static final JobRequest REQUEST = new JobRequest(
            "yard", "clerks", "check", false, Duration.ofMinutes(30), ImmutableList.of(new TaskSpec("{}", 100)));

    private final Tables tables = new Tables(CoreSettings.defaults("entry", 1), SlotSharing.FIXED);
    private final UnreachableDeadlineSystem giveUp = new UnreachableDeadlineSystem();

    /** Guards against a Java heap that fills up with settled jobs which are kept until their deadline. */
    @Test
    void settled_jobs_are_not_kept_until_their_deadline() {
        LongStream.range(0, JOBS).forEach(this::acceptAndSettle);

        assertThat(tables.jobs().deadlineEntries()).isLessThan(JOBS / 10);
        assertThat(giveUp.entryCount()).isLessThan(JOBS / 10);
    }

    /** Guards against kept answers that retain the payloads of their jobs. */
    @Test
    void a_kept_answer_holds_no_payload() {
        acceptAndSettle(0);

        JobRow kept = tables.jobs().find(id(0)).orElseThrow();
        assertThat(kept.verdict()).isPresent();
        assertThat(kept.request()).isEmpty();
        assertThat(kept.matches(REQUEST)).isTrue();
    }

    private void acceptAndSettle(long number) {
        JobRow job = new JobRow(id(number), REQUEST, 0);
        tables.jobs().addOpen(job);
        tables.queue().add(REQUEST.service(), job);
        giveUp.schedule(tables, job);
        Settlement.fail(tables, job, Verdict.failed(Reason.CANCELLED), Reason.CANCELLED_RUNNING, 0, _command -> {});
    }

    private static SubmissionId id(long number) {
        return new SubmissionId(new SessionId("entry", 1, 0), number);
    }
}
