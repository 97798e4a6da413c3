package org.mustardlink.observe;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.http.Json;

/** Tests the lines by which operators explain the processor time of a host. */
final class WorkLogTest {
    private final CapturedLines captured = CapturedLines.start();
    private final EntryMetrics metrics = EntryMetrics.create(1, 1);
    private final WorkLog workLog = new WorkLog(metrics, EventLog.create("east-1", "east", 10), 0);

    @AfterEach
    void release() {
        captured.close();
    }

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }

    /** Guards against processor time that nothing in the logs explains, and against a line for each pass of the loop. */
    @Test
    void a_line_each_ten_seconds_counts_what_was_done_since_the_start() throws JsonProcessingException {
        metrics.count(MessageKind.HEARTBEAT);
        metrics.count(MessageKind.TARGET_ENTRY, 52);
        workLog.passed();
        workLog.tick(seconds(9));
        assertThat(captured.lines()).isEmpty();

        workLog.tick(seconds(10));
        workLog.tick(seconds(19));
        metrics.count(MessageKind.HEARTBEAT);
        workLog.tick(seconds(20));

        List<String> lines = captured.lines();
        assertThat(lines).hasSize(2);
        JsonNode first = Json.mapper().readTree(lines.get(0));
        assertThat(first.path("event").asText()).isEqualTo("host.work");
        assertThat(first.path("elapsed_ms").asLong()).isEqualTo(10_000);
        assertThat(first.path("heartbeats_sent").asLong()).isEqualTo(1);
        assertThat(first.path("target_entries").asLong()).isEqualTo(52);
        assertThat(first.path("loop_passes").asLong()).isEqualTo(1);
        assertThat(Json.mapper().readTree(lines.get(1)).path("heartbeats_sent").asLong())
                .isEqualTo(2);
    }
}
