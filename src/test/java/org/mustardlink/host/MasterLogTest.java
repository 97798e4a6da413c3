package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mustardlink.observe.CapturedLines;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.pool.Capacity;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.JobSummary;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.RunId;
import org.mustardlink.pool.StartTiming;
import org.mustardlink.pool.TargetEntry;
import org.mustardlink.pool.TaskName;

/** Tests the log lines by which operators trace why a job was not completed in time. */
final class MasterLogTest {
    private static final PoolId POOL = new PoolId("yard", "east");
    private static final RunId RUN = new RunId(new TaskName("job", 0, 1, 7), 2);
    private static final TargetEntry TARGET = new TargetEntry(
            "t",
            0,
            InetSocketAddress.createUnresolved("t", 1),
            POOL,
            false,
            new Capacity(2_000, 100, 0),
            ImmutableSet.of("a"));
    private static final StartTiming IN_TIME = new StartTiming(ms(700), ms(700), ms(5));
    private static final StartTiming TOO_LATE = new StartTiming(ms(700), ms(600), ms(900));

    private final MasterLog log = new MasterLog(EventLog.create("east-1", "east", 100), POOL, 3);

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against tasks that are started without a chance and whose jobs end without a trace of the cause. */
    @Test
    void a_start_with_less_time_left_than_expected_is_logged_with_all_its_times_at_level_info() {
        try (CapturedLines captured = CapturedLines.start()) {
            log.logStart(TARGET, RUN, TOO_LATE);

            JsonNode line = Iterables.getOnlyElement(captured.lines(LogEvent.RUN_AT_RISK));
            assertThat(line.path("level").asText()).isEqualTo("INFO");
            assertThat(line.path("job").asText()).isEqualTo("job");
            assertThat(line.path("pool").asText()).isEqualTo(POOL.toString());
            assertThat(line.path("round").asInt()).isEqualTo(3);
            assertThat(line.path("target").asText()).isEqualTo("t");
            assertThat(line.path("step").asInt(-1)).isEqualTo(1);
            assertThat(line.path("task_index").asInt(-1)).isEqualTo(7);
            assertThat(line.path("attempt").asInt()).isEqualTo(2);
            assertThat(line.path("expected_ms").asLong()).isEqualTo(700);
            assertThat(line.path("left_ms").asLong()).isEqualTo(600);
            assertThat(line.path("waited_ms").asLong()).isEqualTo(900);
        }
    }

    /** Guards against a line for each of the many starts in time, which would cost a host its processor time. */
    @Test
    void a_start_in_time_is_logged_at_level_debug_only() {
        try (CapturedLines captured = CapturedLines.start()) {
            log.logStart(TARGET, RUN, IN_TIME);

            assertThat(captured.lines(LogEvent.RUN_STARTED)).isEmpty();
            assertThat(captured.lines(LogEvent.RUN_AT_RISK)).isEmpty();
        }
        try (CapturedLines captured = CapturedLines.startAtDebug()) {
            log.logStart(TARGET, RUN, IN_TIME);

            JsonNode line = Iterables.getOnlyElement(captured.lines(LogEvent.RUN_STARTED));
            assertThat(line.path("level").asText()).isEqualTo("DEBUG");
            assertThat(line.path("expected_ms").asLong()).isEqualTo(700);
            assertThat(line.path("left_ms").asLong()).isEqualTo(700);
            assertThat(captured.lines(LogEvent.RUN_AT_RISK)).isEmpty();
        }
    }

    /** Guards against jobs that are begun in part and thrown away, and whose last lines look like those of others. */
    @Test
    void the_end_of_a_started_job_is_logged_with_its_work_and_its_starts() {
        JobSummary job = new JobSummary(
                "job", 1_500.0 * TimeUnit.SECONDS.toNanos(2), Optional.of(new JobSummary.Starts(ms(1), ms(900), 66)));
        try (CapturedLines captured = CapturedLines.start()) {
            log.logJobEnd(job, new JobResult.Abandoned("too late"), 1_200, new PoolLoad(800, 400, 1));

            JsonNode line = Iterables.getOnlyElement(captured.lines(LogEvent.JOB_ENDED));
            assertThat(line.path("job").asText()).isEqualTo("job");
            assertThat(line.path("answer").asText()).isEqualTo("Abandoned");
            assertThat(line.path("elapsed_ms").asLong()).isEqualTo(1_200);
            assertThat(line.path("free_cpu").asInt()).isEqualTo(800);
            assertThat(line.path("widest_cpu").asInt()).isEqualTo(400);
            assertThat(line.path("work").asLong()).isEqualTo(3_000);
            assertThat(line.path("first_start_ms").asLong()).isEqualTo(1);
            assertThat(line.path("last_start_ms").asLong()).isEqualTo(900);
            assertThat(line.path("least_left_percent").asLong()).isEqualTo(66);
        }
    }

    /** Guards against a refused job that looks as if a task had been started at once. */
    @Test
    void the_end_of_a_job_that_was_not_started_is_logged_without_starts() {
        JobSummary job = new JobSummary("job", 0, Optional.empty());
        try (CapturedLines captured = CapturedLines.start()) {
            log.logJobEnd(job, new JobResult.Abandoned("the caller is gone"), 3, PoolLoad.NONE);

            JsonNode line = Iterables.getOnlyElement(captured.lines(LogEvent.JOB_ENDED));
            assertThat(line.has("work")).isTrue();
            assertThat(line.has("first_start_ms")).isFalse();
            assertThat(line.has("last_start_ms")).isFalse();
            assertThat(line.has("least_left_percent")).isFalse();
        }
    }
}
