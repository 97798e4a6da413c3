package org.mustardlink.observe;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.http.Json;

/** Tests the log lines by which operators attribute the processor time of a host. */
final class HostWorkLoggerTest {
    private final CapturedLines captured = CapturedLines.start();
    private final EntryMetrics metrics = EntryMetrics.create(1, 1);
    private final HostWorkLogger workLogger = new HostWorkLogger(metrics, EventLog.create("east-1", "east", 10), 0);

    @AfterEach
    void closeCapture() {
        captured.close();
    }

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }

    /**
     * Guards against processor time that the logs do not explain, and against a line for each pass of the event loop.
     */
    @Test
    void one_line_every_ten_seconds_reports_the_work_since_the_start() throws JsonProcessingException {
        metrics.count(MessageKind.HEARTBEAT);
        metrics.count(MessageKind.TARGET_ENTRY, 52);
        metrics.countPlacement(3);
        workLogger.countLoopPass();
        workLogger.writeIfDue(seconds(9));
        assertThat(captured.lines()).isEmpty();

        workLogger.writeIfDue(seconds(10));
        workLogger.writeIfDue(seconds(19));
        metrics.count(MessageKind.HEARTBEAT);
        workLogger.writeIfDue(seconds(20));

        List<String> lines = captured.lines();
        assertThat(lines).hasSize(2);
        JsonNode first = Json.mapper().readTree(lines.get(0));
        assertThat(first.path("event").asText()).isEqualTo("host.work");
        assertThat(first.path("elapsed_ms").asLong()).isEqualTo(10_000);
        assertThat(first.path("heartbeats_sent").asLong()).isEqualTo(1);
        assertThat(first.path("target_entries").asLong()).isEqualTo(52);
        assertThat(first.path("loop_passes").asLong()).isEqualTo(1);
        assertThat(first.path("placements").asLong()).isEqualTo(1);
        assertThat(first.path("planned_jobs").asLong()).isEqualTo(3);
        assertThat(Json.mapper().readTree(lines.get(1)).path("heartbeats_sent").asLong())
                .isEqualTo(2);
    }
}
