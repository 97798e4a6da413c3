package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests that the event loop survives an event or a timer that fails. */
final class HostLoopTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final List<Throwable> failures = new CopyOnWriteArrayList<>();
    private final AtomicInteger handled = new AtomicInteger();

    private static long dueInFiveMillis(long now) {
        return now + TimeUnit.MILLISECONDS.toNanos(5);
    }

    /** Guards against a host that still accepts requests but handles no event any more after an unexpected error. */
    @Test
    void the_loop_continues_after_an_event_that_ends_with_an_error() {
        try (HostLoop loop = new HostLoop(_now -> {}, HostLoopTest::dueInFiveMillis, failures::add)) {
            loop.start();
            loop.post(_now -> {
                throw new StackOverflowError("planted");
            });
            loop.post(_now -> handled.incrementAndGet());

            await().atMost(TIMEOUT).until(() -> handled.get() == 1);
            assertThat(failures).hasSize(1);
        }
    }

    /** Guards against a loop that ends because the time of the next timer cannot be computed. */
    @Test
    void the_loop_continues_when_the_next_timer_cannot_be_computed() {
        AtomicInteger callCount = new AtomicInteger();
        HostLoop loop = new HostLoop(
                _now -> {},
                now -> {
                    if (callCount.incrementAndGet() == 1) {
                        throw new IllegalStateException("planted");
                    }
                    return dueInFiveMillis(now);
                },
                failures::add);
        try (loop) {
            loop.start();
            loop.post(_now -> handled.incrementAndGet());

            await().atMost(TIMEOUT).until(() -> handled.get() == 1);
            assertThat(failures).hasSize(1);
        }
    }
}
