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

    /** Guards against a checker that takes some served jobs for service. */
    @Test
    void a_planted_minority_of_served_jobs_is_no_service() {
        for (int second = 10; second < 30; second++) {
            recordSecond(second, 2, 3);
        }

        assertThat(checker.recoveredAtMs(10_000)).isEmpty();
        assertThat(checker.check(10_000).orElseThrow().rule()).isEqualTo(ServiceChecker.RULE_RECOVER);
    }

    /** Guards against service that came back too late and is reported as in time. */
    @Test
    void a_planted_late_return_of_service_is_reported() {
        recordSecond(24, 3, 2);

        assertThat(checker.recoveredAtMs(10_000)).hasValue(25_000);
        assertThat(checker.check(10_000)).isPresent();
    }

    /** Guards against the service before the end of the faults counting as recovery. */
    @Test
    void service_counts_from_the_first_whole_second_after_the_faults() {
        recordSecond(9, 5, 0);
        recordSecond(10, 5, 0);
        recordSecond(12, 3, 2);

        assertThat(checker.recoveredAtMs(10_000)).hasValue(13_000);
        assertThat(checker.check(10_000)).isEmpty();
    }
}
