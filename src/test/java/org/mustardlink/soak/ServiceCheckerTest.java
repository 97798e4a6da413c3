package org.mustardlink.soak;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ServiceCheckerTest {
    private final ServiceChecker checker = new ServiceChecker();

    private void recordSecond(int second, int served, int lost) {
        for (int i = 0; i < served + lost; i++) {
            checker.recordJobEnd(second * 1_000L + i, i < served);
        }
    }

    /** Guards against a checker that takes a minority of served jobs for recovered service. */
    @Test
    void minority_of_served_jobs_is_no_recovery() {
        for (int second = 10; second < 30; second++) {
            recordSecond(second, 2, 3);
        }

        assertThat(checker.recoveredAtMs(10_000)).isEmpty();
        assertThat(checker.check(10_000).orElseThrow().rule()).isEqualTo(ServiceChecker.RULE_RECOVER);
    }

    /** Guards against a checker that accepts a recovery after the time limit. */
    @Test
    void late_recovery_is_reported() {
        recordSecond(24, 3, 2);

        assertThat(checker.recoveredAtMs(10_000)).hasValue(25_000);
        assertThat(checker.check(10_000)).isPresent();
    }

    /** Guards against a checker that counts jobs served before the end of the faults as recovery. */
    @Test
    void recovery_counts_from_the_first_whole_second_after_the_faults() {
        recordSecond(9, 5, 0);
        recordSecond(10, 5, 0);
        recordSecond(12, 3, 2);

        assertThat(checker.recoveredAtMs(10_000)).hasValue(13_000);
        assertThat(checker.check(10_000)).isEmpty();
    }
}
