package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardlink.front.CallerResponse;
import org.mustardlink.observe.EntryMetrics;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.MetricsExporter;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.Capacity;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobOrders;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.StepSpec;

/** Tests how the final answers to callers are counted. */
final class OpenRequestsTest {
    private final EntryMetrics metrics = EntryMetrics.create(4, 1);
    private final OpenRequests requests = new OpenRequests("east", metrics, EventLog.create("east-1", "east", 10));
    private final List<CallerResponse> responses = new ArrayList<>();

    private static JobOrder order(long number, int tasks) {
        StepSpec step = new StepSpec(
                tasks,
                new Capacity(1_000, 1, 0),
                Duration.ofMillis(50),
                ImmutableList.of(),
                Optional.empty(),
                Integer.MAX_VALUE);
        return JobOrders.of(number, "job-" + number, step, true);
    }

    private static CallerResponse response(CallerResponse.Kind kind) {
        return CallerResponse.of(kind, "planted");
    }

    private void add(long number, int tasks) {
        requests.add(order(number, tasks), 1, responses::add, 0);
    }

    /** Returns the lines of the counters of jobs that are not zero. */
    private ImmutableList<String> countedJobs() {
        return MetricsExporter.of(metrics)
                .toPrometheusText()
                .lines()
                .filter(line -> line.startsWith("mustardlink_jobs_total{") && !line.endsWith(" 0.0"))
                .collect(ImmutableList.toImmutableList());
    }

    /** Guards against an answer that is counted under an outcome other than the one that its caller sees. */
    @ParameterizedTest
    @CsvSource({
        "COMPLETE, complete",
        "NOT_RUN, refused",
        "FAILED, ended",
        "MAY_HAVE_RUN, ended",
        "TIMED_OUT, ended",
    })
    void each_kind_of_answer_is_counted_under_its_outcome(CallerResponse.Kind kind, String outcome) {
        add(1, 1);

        requests.respond(1, response(kind), 1);

        assertThat(countedJobs())
                .containsExactly("mustardlink_jobs_total{outcome=\"%s\",queue=\"queue\",size=\"up_to_mean\"} 1.0"
                        .formatted(outcome));
    }

    /** Guards against large jobs that are refused unseen because the counts of all sizes are added up. */
    @Test
    void jobs_are_counted_by_their_size_at_arrival() {
        add(1, 2);
        add(2, 9);
        add(3, 9);
        requests.respond(2, response(CallerResponse.Kind.NOT_RUN), 1);
        requests.respond(3, response(CallerResponse.Kind.COMPLETE), 1);
        requests.respond(1, response(CallerResponse.Kind.COMPLETE), 1);

        assertThat(countedJobs())
                .containsExactly(
                        "mustardlink_jobs_total{outcome=\"complete\",queue=\"queue\",size=\"up_to_mean\"} 1.0",
                        "mustardlink_jobs_total{outcome=\"refused\",queue=\"queue\",size=\"above_twice\"} 1.0",
                        "mustardlink_jobs_total{outcome=\"complete\",queue=\"queue\",size=\"up_to_twice\"} 1.0");
    }

    /** Guards against a job that counts once for each pool that it was sent to. */
    @Test
    void a_job_that_was_sent_to_several_pools_is_counted_once() {
        add(1, 1);
        requests.recordSubmission(new Claim(new PoolId("yard", "east"), "east-1", 1, 1), order(1, 1), 0);
        requests.recordSubmission(new Claim(new PoolId("yard", "west"), "west-1", 1, 1), order(1, 1), 0);
        requests.respond(1, response(CallerResponse.Kind.COMPLETE), 1);
        requests.respond(1, response(CallerResponse.Kind.COMPLETE), 2);

        assertThat(responses).hasSize(1);
        assertThat(countedJobs())
                .containsExactly(
                        "mustardlink_jobs_total{outcome=\"complete\",queue=\"queue\",size=\"up_to_mean\"} 1.0");
    }

    /** Guards against jobs that vanish from the counts because their callers lost patience. */
    @Test
    void a_job_whose_caller_has_disconnected_is_counted_as_ended() {
        add(1, 1);
        requests.recordCallerDisconnect(1, 1);
        requests.respond(1, response(CallerResponse.Kind.COMPLETE), 2);

        assertThat(countedJobs())
                .containsExactly("mustardlink_jobs_total{outcome=\"ended\",queue=\"queue\",size=\"up_to_mean\"} 1.0");
    }
}
