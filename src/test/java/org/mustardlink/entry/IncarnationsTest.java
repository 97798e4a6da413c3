package org.mustardlink.entry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class IncarnationsTest {
    /**
     * Guards against a process that treats the sessions of an earlier process as its own after the clock was stepped
     * back.
     */
    @Test
    void two_starts_at_the_same_clock_reading_differ() {
        Clock stopped = Clock.fixed(Instant.parse("2026-12-04T03:00:00Z"), ZoneOffset.UTC);
        Set<Long> drawn = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            drawn.add(Incarnations.next(stopped));
        }

        assertThat(drawn).hasSize(8);
        assertThat(drawn.stream().allMatch(incarnation -> incarnation > 0)).isTrue();
    }
}
