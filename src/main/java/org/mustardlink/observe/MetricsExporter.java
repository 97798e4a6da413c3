package org.mustardlink.observe;

import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.instrumentation.dropwizard5.labels.CustomLabelMapper;
import io.prometheus.metrics.instrumentation.dropwizard5.labels.MapperConfig;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.MetricMetadata;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.prometheus.metrics.model.snapshots.SummarySnapshot;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/** Exports metrics as JSON and in the Prometheus text format. Thread-safe. */
public final class MetricsExporter {
    /** Content type of the Prometheus text format. */
    public static final String PROMETHEUS_CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final String PREFIX = "mustardlink_";
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
            .build();
    private static final CustomLabelMapper LABEL_MAPPER = new CustomLabelMapper(ImmutableList.of(
            new MapperConfig(
                    EntryMetrics.RESPONSE_TIME + ".*.*",
                    EntryMetrics.RESPONSE_TIME,
                    ImmutableMap.of("team", "${0}", "class", "${1}")),
            new MapperConfig(
                    EntryMetrics.JOBS + ".*.*.*",
                    EntryMetrics.JOBS,
                    ImmutableMap.of("queue", "${0}", "size", "${1}", "outcome", "${2}")),
            new MapperConfig("answers.*", "answers", ImmutableMap.of("kind", "${0}")),
            new MapperConfig("verdicts.*", "verdicts", ImmutableMap.of("reason", "${0}")),
            new MapperConfig("messages.*", "messages", ImmutableMap.of("kind", "${0}"))));

    private final EntryMetrics metrics;

    private MetricsExporter(EntryMetrics metrics) {
        this.metrics = metrics;
    }

    /** Returns an exporter of the metrics. */
    public static MetricsExporter of(EntryMetrics metrics) {
        return new MetricsExporter(metrics);
    }

    /** Returns the metrics as a JSON tree; times are in milliseconds. */
    public JsonNode toJson() {
        try {
            return MAPPER.readTree(MAPPER.writeValueAsString(metrics.registry()));
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot serialize the metrics as JSON", e);
        }
    }

    /** Returns the metrics in the Prometheus text format; times are in seconds. */
    public String toPrometheusText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, collectSnapshots());
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot write the metrics in the Prometheus text format", e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    /**
     * Exports each metric by itself and then merges the snapshots of the same name. {@link DropwizardExports} rejects
     * two metrics that differ only in their labels.
     */
    private MetricSnapshots collectSnapshots() {
        ImmutableListMultimap.Builder<String, MetricSnapshot> byName = ImmutableListMultimap.builder();
        for (String name : metrics.registry().getNames()) {
            MetricFilter singleMetric = (candidate, _metric) -> candidate.equals(name);
            new DropwizardExports(metrics.registry(), singleMetric, LABEL_MAPPER)
                    .collect()
                    .forEach(snapshot -> byName.put(snapshot.getMetadata().getName(), snapshot));
        }
        MetricSnapshots.Builder merged = MetricSnapshots.builder();
        byName.build()
                .asMap()
                .values()
                .forEach(parts -> merged.metricSnapshot(mergeSnapshots(ImmutableList.copyOf(parts))));
        return merged.build();
    }

    private static MetricSnapshot mergeSnapshots(ImmutableList<MetricSnapshot> snapshots) {
        MetricSnapshot first = snapshots.get(0);
        MetricMetadata metadata =
                new MetricMetadata(PREFIX + first.getMetadata().getName());
        if (first instanceof CounterSnapshot) {
            return new CounterSnapshot(
                    metadata, collectDataPoints(snapshots, CounterSnapshot.CounterDataPointSnapshot.class));
        }
        if (first instanceof SummarySnapshot) {
            return new SummarySnapshot(
                    metadata, collectDataPoints(snapshots, SummarySnapshot.SummaryDataPointSnapshot.class));
        }
        return new GaugeSnapshot(metadata, collectDataPoints(snapshots, GaugeSnapshot.GaugeDataPointSnapshot.class));
    }

    private static <T> ImmutableList<T> collectDataPoints(ImmutableList<MetricSnapshot> snapshots, Class<T> type) {
        return snapshots.stream()
                .flatMap(part -> part.getDataPoints().stream())
                .map(type::cast)
                .collect(ImmutableList.toImmutableList());
    }
}
