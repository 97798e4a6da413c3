package org.mustardlink.observe;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mustardlink.core.Reason;

class EntryMetricsTest {
    private final EntryMetrics metrics = EntryMetrics.create(2, 2);

    /** Guards against a caller that fills the heap by submitting jobs under ever new team names. */
    @Test
    void teams_beyond_the_bound_share_one_histogram() {
        for (int i = 0; i < 100; i++) {
            metrics.recordResponseTime("team" + i, "default", TimeUnit.MILLISECONDS.toNanos(5));
        }

        assertThat(metrics.registry().getTimers().keySet())
                .containsExactly(
                        "loop_lag",
                        "response_time.team0.default",
                        "response_time.team1.default",
                        "response_time.other.other");
        assertThat(metrics.registry().timer("response_time.other.other").getCount())
                .isEqualTo(98);
    }

    /** Guards against an out-of-range duration or an invalid name that makes all later recordings fail. */
    @Test
    void times_and_names_out_of_range_are_recorded_within_it() {
        metrics.recordResponseTime("a.b c", "", Long.MAX_VALUE);
        metrics.recordResponseTime("a.b c", "", -1);

        assertThat(metrics.registry().timer("response_time.a_b_c.none").getCount())
                .isEqualTo(2);
    }

    /** Guards against a configuration with ever new queues that fills the heap. */
    @Test
    void queues_beyond_the_bound_share_one_set_of_counters() {
        for (int i = 0; i < 100; i++) {
            metrics.countJob("queue" + i, SizeClass.UP_TO_MEAN, JobOutcome.COMPLETE);
        }
        metrics.countJob("queue1", SizeClass.UP_TO_MEAN, JobOutcome.COMPLETE);

        assertThat(metrics.registry().counter("jobs.queue1.up_to_mean.complete").getCount())
                .isEqualTo(2);
        assertThat(metrics.registry().counter("jobs.other.up_to_mean.complete").getCount())
                .isEqualTo(98);
        assertThat(metrics.registry().getCounters().keySet()).doesNotContain("jobs.queue2.up_to_mean.complete");
    }

    /** Guards against shares by size that can't be computed because sizes or outcomes that never occurred are missing. */
    @Test
    void both_formats_show_every_size_and_outcome_of_a_queue() {
        metrics.countJob("large.jobs", SizeClass.ABOVE_TWICE, JobOutcome.REFUSED);
        MetricsExporter text = MetricsExporter.of(metrics);

        String prometheus = text.toPrometheusText();
        for (String size : ImmutableList.of("below_half", "up_to_mean", "up_to_twice", "above_twice")) {
            for (String outcome : ImmutableList.of("complete", "refused", "ended")) {
                boolean counted = size.equals("above_twice") && outcome.equals("refused");
                assertThat(prometheus)
                        .contains("mustardlink_jobs_total{outcome=\"%s\",queue=\"large_jobs\",size=\"%s\"} %s"
                                .formatted(outcome, size, counted ? "1.0" : "0.0"));
            }
        }
        assertThat(text.toJson()
                        .at("/counters/jobs.large_jobs.above_twice.refused/count")
                        .asInt())
                .isEqualTo(1);
    }

    /** Guards against units or labels in the exports that differ from those of the recorded metrics. */
    @Test
    void both_formats_show_every_reason_and_the_right_units() {
        metrics.recordResponseTime("clerks", "urgent", TimeUnit.MILLISECONDS.toNanos(250));
        metrics.count(Reason.NO_TARGET);
        MetricsExporter text = MetricsExporter.of(metrics);

        String prometheus = text.toPrometheusText();
        for (Reason reason : Reason.values()) {
            assertThat(prometheus)
                    .contains("mustardlink_verdicts_total{reason=\"%s\"} %s"
                            .formatted(reason, reason == Reason.NO_TARGET ? "1.0" : "0.0"));
        }
        assertThat(prometheus)
                .containsMatch("mustardlink_response_time\\{class=\"urgent\",team=\"clerks\",quantile=\"0.99\"} 0.25");
        assertThat(text.toJson().at("/timers/response_time.clerks.urgent/p99").asDouble())
                .isWithin(3)
                .of(250);
    }
}
