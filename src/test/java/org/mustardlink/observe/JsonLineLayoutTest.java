package org.mustardlink.observe;

import static com.google.common.truth.Truth.assertThat;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Random;
import org.apache.logging.log4j.message.AsynchronouslyFormattable;
import org.junit.jupiter.api.Test;

class JsonLineLayoutTest {
    private static final DateTimeFormatter FULL_FORMAT =
            DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'").withZone(ZoneOffset.UTC);

    /** Guards against a cached second that is used for a line of another second, also if the clock is set back. */
    @Test
    void the_cached_second_gives_the_same_text_as_the_formatter() {
        JsonLineLayout layout = new JsonLineLayout();
        Random random = new Random(7);
        long millis = Instant.parse("2026-12-31T23:59:58.998Z").toEpochMilli();
        for (int i = 0; i < 20_000; i++) {
            millis += random.nextInt(100) == 0 ? random.nextInt(10_000) - 5_000 : random.nextInt(3);
            StringBuilder line = new StringBuilder();
            layout.appendTime(line, millis);
            assertThat(line.toString()).isEqualTo(FULL_FORMAT.format(Instant.ofEpochMilli(millis)));
        }
    }

    /** Guards against needless formatting on the thread that logs, which is the thread of the event loop. */
    @Test
    void the_fields_of_a_line_are_formatted_by_the_thread_that_writes_it() {
        assertThat(EventMessage.class.isAnnotationPresent(AsynchronouslyFormattable.class))
                .isTrue();
    }
}
