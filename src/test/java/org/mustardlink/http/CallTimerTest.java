package org.mustardlink.http;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class CallTimerTest {
    /** Guards against calls that never time out because the thread sleeps for longer than until they are due. */
    @Test
    void each_timeout_expires_once_and_not_before_it_is_due() throws Exception {
        try (CallTimer timer = CallTimer.start("timer-test")) {
            List<RecordedTimeout> timeouts = new ArrayList<>();
            for (int round = 0; round < 3; round++) {
                // Long ones first, so that the thread sleeps until after the short ones are due unless it is woken.
                for (int millis : new int[] {700, 150, 40, 3}) {
                    RecordedTimeout timeout = new RecordedTimeout(Duration.ofMillis(millis));
                    timeouts.add(timeout);
                    timer.add(timeout);
                }
                Thread.sleep(60);
            }
            for (RecordedTimeout timeout : timeouts) {
                // Generous, because the machine may be busy; a time-out that was missed stays for a day.
                assertThat(timeout.expired.get(10, TimeUnit.SECONDS)).isAtLeast(0L);
            }
            Thread.sleep(150);
            for (RecordedTimeout timeout : timeouts) {
                assertThat(timeout.count.get()).isEqualTo(1);
            }
        }
    }

    /** Guards against a call that ended and is failed afterwards. */
    @Test
    void a_removed_timeout_does_not_expire() throws Exception {
        try (CallTimer timer = CallTimer.start("timer-test")) {
            RecordedTimeout removed = new RecordedTimeout(Duration.ofMillis(300));
            RecordedTimeout other = new RecordedTimeout(Duration.ofMillis(400));
            timer.add(removed);
            timer.add(other);

            timer.remove(removed);

            assertThat(other.expired.get(10, TimeUnit.SECONDS)).isAtLeast(0L);
            assertThat(removed.count.get()).isEqualTo(0);
        }
    }

    /** Guards against one call whose failure ends the thread, after which no call times out any more. */
    @Test
    void a_timeout_that_throws_does_not_keep_others_from_expiring() throws Exception {
        try (CallTimer timer = CallTimer.start("timer-test")) {
            timer.add(new CallTimer.Timeout(System.nanoTime()) {
                @Override
                void expire() {
                    throw new IllegalStateException("thrown by the test");
                }
            });
            RecordedTimeout later = new RecordedTimeout(Duration.ofMillis(50));
            timer.add(later);

            assertThat(later.expired.get(10, TimeUnit.SECONDS)).isAtLeast(0L);
        }
    }

    private static final class RecordedTimeout extends CallTimer.Timeout {
        /** By how many nanoseconds it was late. */
        private final CompletableFuture<Long> expired = new CompletableFuture<>();

        private final AtomicInteger count = new AtomicInteger();

        private RecordedTimeout(Duration after) {
            super(System.nanoTime() + after.toNanos());
        }

        @Override
        void expire() {
            count.incrementAndGet();
            expired.complete(System.nanoTime() - dueNanos());
        }
    }
}
