package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Collects the results of a run. Thread-safe.
 *
 * <p>Responses count from the intended arrival, not from the moment of sending, so a stall of the generator or of the
 * system appears in every job that should have been sent during it (no coordinated omission).
 */
final class RunRecorder {
    private final LoadSettings settings;
    private final double[] pooledMs;
    private final Map<String, GroupRecorder> groups = new TreeMap<>();
    private final GroupRecorder[] seconds;
    private final double[] workDoneMs;
    private final Histogram sendDelayMicros = new Histogram(3);
    private long wrongAnswers;

    RunRecorder(LoadSettings settings, double[] pooledMs) {
        this.settings = settings;
        this.pooledMs = pooledMs;
        seconds = new GroupRecorder[settings.seconds()];
        for (int i = 0; i < seconds.length; i++) {
            seconds[i] = new GroupRecorder();
        }
        workDoneMs = new double[settings.seconds()];
    }

    synchronized void sent(JobPlan job, long delayNanos) {
        if (secondOf(job.arrivalNanos()) >= 0) {
            sendDelayMicros.recordValue(Math.max(0, delayNanos / 1000));
        }
    }

    synchronized void complete(JobPlan job, long endNanos) {
        addWork(job, endNanos);
        int second = secondOf(job.arrivalNanos());
        if (second < 0) {
            return;
        }
        double response = settings.networkMs() + (endNanos - job.arrivalNanos()) / 1e6;
        double ideal = settings.capacity().idealMs(job, settings.networkMs());
        double pooled = pooledMs[job.number()];
        seconds[second].complete(response, ideal, pooled);
        group(totalOf(job)).complete(response, ideal, pooled);
        group(classOf(job)).complete(response, ideal, pooled);
        group("team " + job.team()).complete(response, ideal, pooled);
    }

    synchronized void failed(JobPlan job, String reason) {
        int second = secondOf(job.arrivalNanos());
        if (second < 0) {
            return;
        }
        seconds[second].failed(reason);
        group(totalOf(job)).failed(reason);
        group(classOf(job)).failed(reason);
        group("team " + job.team()).failed(reason);
    }

    synchronized void wrongAnswer() {
        wrongAnswers++;
    }

    synchronized long wrongAnswers() {
        return wrongAnswers;
    }

    synchronized double sendDelayMs() {
        return sendDelayMicros.getValueAtPercentile(99) / 1000.0;
    }

    synchronized ImmutableList<RunReport.Group> groups() {
        return groups.entrySet().stream()
                .map(entry -> entry.getValue().report(entry.getKey()))
                .collect(ImmutableList.toImmutableList());
    }

    synchronized ImmutableMap<String, Histogram> ratios() {
        ImmutableMap.Builder<String, Histogram> ratios = ImmutableMap.builder();
        groups.forEach((name, group) -> ratios.put(name, group.ratio().copy()));
        return ratios.buildOrThrow();
    }

    synchronized ImmutableList<RunReport.Second> timeline() {
        double fullMs = settings.domains() * settings.capacity().total() * 1000;
        ImmutableList.Builder<RunReport.Second> rows = ImmutableList.builder();
        for (int i = 0; i < seconds.length; i++) {
            rows.add(new RunReport.Second(
                    i, seconds[i].jobs(), workDoneMs[i] / fullMs, seconds[i].ratioP99(), seconds[i].failures()));
        }
        return rows.build();
    }

    private static String totalOf(JobPlan job) {
        return job.cancelNanos().isPresent() ? "cancelled" : "all";
    }

    private static String classOf(JobPlan job) {
        return "class "
                + (job.cancelNanos().isPresent() ? "cancelled" : job.jobClass().label());
    }

    private void addWork(JobPlan job, long endNanos) {
        int second = secondOf(endNanos);
        if (second >= 0) {
            workDoneMs[second] += job.workMs();
        }
    }

    private int secondOf(long nanos) {
        long second = Math.floorDiv(nanos - settings.warmupSeconds() * 1_000_000_000L, 1_000_000_000L);
        return second < settings.seconds() ? (int) Math.max(-1, second) : -1;
    }

    private GroupRecorder group(String name) {
        return groups.computeIfAbsent(name, _unused -> new GroupRecorder());
    }
}
