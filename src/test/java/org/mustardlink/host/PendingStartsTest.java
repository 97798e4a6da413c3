package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests for how long a host refuses a job of which a start may still be carried out. */
final class PendingStartsTest {
    private final PendingStarts pendingStarts = new PendingStarts();

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against a job that is accepted between two statements of its master, of which one was lost. */
    @Test
    void a_job_is_refused_while_its_master_repeats_the_statement() {
        pendingStarts.record(ImmutableSet.of("job"), 0);
        pendingStarts.record(ImmutableSet.of("job", "other"), ms(600));
        pendingStarts.expire(ms(1_400));

        assertThat(pendingStarts.contains("job", ms(1_400))).isTrue();
        assertThat(pendingStarts.contains("unknown", ms(1_400))).isFalse();
    }

    /** Guards against a job that is refused for ever, because its master has ended or the start was refused. */
    @Test
    void a_job_is_accepted_again_when_the_statement_is_no_longer_repeated() {
        pendingStarts.record(ImmutableSet.of("job"), 0);

        assertThat(pendingStarts.contains("job", ms(899))).isTrue();
        assertThat(pendingStarts.contains("job", ms(900))).isFalse();
        pendingStarts.expire(ms(900));
        assertThat(pendingStarts.contains("job", 0)).isFalse();
    }
}
