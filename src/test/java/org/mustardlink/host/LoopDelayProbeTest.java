package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.util.concurrent.Uninterruptibles;
import java.time.Duration;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the measurement of how long events wait in the queue of a loop. */
final class LoopDelayProbeTest {
    private final LinkedBlockingQueue<Long> delays = new LinkedBlockingQueue<>();

    /** Guards against a busy host that does not notice its own delay and therefore considers other hosts silent. */
    @Test
    void the_delay_by_a_slow_event_is_measured_once() throws InterruptedException {
        try (HostLoop loop = new HostLoop(_now -> {}, now -> now + 1_000_000, _failure -> {})) {
            LoopDelayProbe probe = new LoopDelayProbe(loop, (delayNanos, _now) -> delays.add(delayNanos));
            loop.start();
            loop.post(now -> {
                probe.measure(now);
                probe.measure(now);
                Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(300));
            });

            Long measuredNanos = delays.poll(5, TimeUnit.SECONDS);
            assertThat(measuredNanos).isAtLeast(TimeUnit.MILLISECONDS.toNanos(300));
            assertThat(delays.poll(100, TimeUnit.MILLISECONDS)).isNull();
        }
    }
}
