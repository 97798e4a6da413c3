package org.mustardlink.observe;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.config.Configurator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.http.Json;

class EventLogTest {
    private final CapturedLines captured = CapturedLines.start();
    private final Logger logger = (Logger) LogManager.getLogger("org.mustardlink.events");

    @AfterEach
    void closeCapture() {
        captured.close();
    }

    /** Guards against a flood of one event that hides the other events or fills the log collector. */
    @Test
    void lines_of_one_event_beyond_the_rate_limit_are_dropped_and_counted()
            throws JsonProcessingException, InterruptedException {
        EventLog log = EventLog.create("host-1", "galpon", 3);
        for (int i = 0; i < 100; i++) {
            log.line(LogEvent.ATTEMPT_LOST).with(LogField.ATTEMPT, i).write();
        }
        log.line(LogEvent.HOST_LEAVING).with(LogField.OPEN_JOBS, 4).write();
        Thread.sleep(1100);
        log.line(LogEvent.ATTEMPT_LOST).with(LogField.ATTEMPT, 100).write();

        List<String> lines = captured.lines();
        assertThat(lines).hasSize(5);
        JsonNode leaving = Json.mapper().readTree(lines.get(3));
        assertThat(leaving.path("event").asText()).isEqualTo("host.leaving");
        assertThat(leaving.path("host").asText()).isEqualTo("host-1");
        assertThat(leaving.path("domain").asText()).isEqualTo("galpon");
        assertThat(leaving.path("open_jobs").isNumber()).isTrue();
        assertThat(Json.mapper().readTree(lines.get(4)).path("suppressed").asInt())
                .isEqualTo(97);
    }

    /** Guards against undocumented fields, and against hostile text that is logged as an event of its own. */
    @Test
    void a_line_is_one_json_object_with_listed_fields_only() throws JsonProcessingException {
        EventLog log = EventLog.create("host-1", "galpon", 3);
        log.line(LogEvent.PLATFORM_LOST)
                .with(LogField.ERROR, "a\"b\n{\"event\":\"host.stopped\"}")
                .write();

        List<String> lines = captured.lines();
        assertThat(lines).hasSize(1);
        Set<String> names =
                ImmutableSet.copyOf(Json.mapper().readTree(lines.get(0)).fieldNames());
        Set<String> listed = Arrays.stream(LogField.values()).map(LogField::id).collect(Collectors.toSet());
        assertThat(Sets.difference(names, listed)).containsExactly("time", "level", "event");
    }

    /** Guards against lines of libraries, which have no event, that are lost or are no valid JSON. */
    @Test
    void a_warning_of_a_library_is_a_json_object_with_its_logger_and_error() throws JsonProcessingException {
        Configurator.setLevel("org.mustardlink", Level.WARN);
        logger.warn("a \"pool\"\nis closed", new IllegalStateException("closed\ttwice"));

        JsonNode line = Json.mapper().readTree(captured.lines().get(0));
        assertThat(line.path("event").asText()).isEqualTo("library");
        assertThat(line.path("level").asText()).isEqualTo("WARN");
        assertThat(line.path("logger").asText()).isEqualTo("org.mustardlink.events");
        assertThat(line.path("message").asText()).isEqualTo("a \"pool\"\nis closed");
        assertThat(line.path("error").asText()).isEqualTo("closed\ttwice");
    }
}
