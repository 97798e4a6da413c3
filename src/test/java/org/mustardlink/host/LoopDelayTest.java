package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the measurement of how long events wait for a loop. */
final class LoopDelayTest {
    private final LinkedBlockingQueue<Long> waits = new LinkedBlockingQueue<>();

    /** Guards against a busy host that doesn't know that it is late, and takes others for silent. */
    @Test
    void the_time_that_an_event_keeps_the_loop_is_measured_once() throws InterruptedException {
        try (HostLoop loop = new HostLoop(_now -> {}, now -> now + 1_000_000, _failure -> {})) {
            LoopDelay delay = new LoopDelay(loop, (delayNanos, _now) -> waits.add(delayNanos));
            loop.start();
            loop.post(now -> {
                delay.measure(now);
                delay.measure(now);
                Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(300));
            });

            Long waited = waits.poll(5, TimeUnit.SECONDS);
            assertThat(waited).isAtLeast(TimeUnit.MILLISECONDS.toNanos(300));
            assertThat(waits.poll(100, TimeUnit.MILLISECONDS)).isNull();
        }
    }
}
