package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Records the answers of a run and aggregates them by group and by second. Thread-safe.
 *
 * <p>Response times count from the intended arrival and not from the actual submission. A stall of the generator or of
 * the system therefore shows in every job that was due during the stall, which avoids coordinated omission.
 */
final class RunRecorder {
    private final LoadSettings settings;
    private final double[] pooledResponsesMs;
    private final Map<String, GroupRecorder> groups = new TreeMap<>();
    private final GroupRecorder[] groupsBySecond;
    private final double[] workDoneMs;
    private final Histogram sendDelayMicros = new Histogram(3);
    private long wrongAnswerCount;

    RunRecorder(LoadSettings settings, double[] pooledResponsesMs) {
        this.settings = settings;
        this.pooledResponsesMs = pooledResponsesMs;
        groupsBySecond = new GroupRecorder[settings.seconds()];
        for (int i = 0; i < groupsBySecond.length; i++) {
            groupsBySecond[i] = new GroupRecorder();
        }
        workDoneMs = new double[settings.seconds()];
    }

    synchronized void recordSent(JobPlan job, long delayNanos) {
        if (secondOf(job.arrivalNanos()) >= 0) {
            sendDelayMicros.recordValue(Math.max(0, delayNanos / 1000));
        }
    }

    synchronized void recordComplete(JobPlan job, long endNanos) {
        addWork(job, endNanos);
        int second = secondOf(job.arrivalNanos());
        if (second < 0) {
            return;
        }
        double responseMs = settings.networkMs() + (endNanos - job.arrivalNanos()) / 1e6;
        double idealMs = settings.capacity().idealMs(job, settings.networkMs());
        double pooledResponseMs = pooledResponsesMs[job.number()];
        groupsBySecond[second].recordComplete(responseMs, idealMs, pooledResponseMs);
        group(totalGroupOf(job)).recordComplete(responseMs, idealMs, pooledResponseMs);
        group(classGroupOf(job)).recordComplete(responseMs, idealMs, pooledResponseMs);
        group("team " + job.team()).recordComplete(responseMs, idealMs, pooledResponseMs);
    }

    synchronized void recordFailure(JobPlan job, String reason) {
        int second = secondOf(job.arrivalNanos());
        if (second < 0) {
            return;
        }
        groupsBySecond[second].failuresByReason(reason);
        group(totalGroupOf(job)).failuresByReason(reason);
        group(classGroupOf(job)).failuresByReason(reason);
        group("team " + job.team()).failuresByReason(reason);
    }

    synchronized void recordWrongAnswer() {
        wrongAnswerCount++;
    }

    synchronized long wrongAnswerCount() {
        return wrongAnswerCount;
    }

    synchronized double sendDelayP99Ms() {
        return sendDelayMicros.getValueAtPercentile(99) / 1000.0;
    }

    synchronized ImmutableList<RunReport.Group> groups() {
        return groups.entrySet().stream()
                .map(entry -> entry.getValue().toReport(entry.getKey()))
                .collect(ImmutableList.toImmutableList());
    }

    synchronized ImmutableMap<String, Histogram> ratios() {
        ImmutableMap.Builder<String, Histogram> ratios = ImmutableMap.builder();
        groups.forEach((name, group) -> ratios.put(name, group.ratios().copy()));
        return ratios.buildOrThrow();
    }

    synchronized ImmutableList<RunReport.Second> timeline() {
        double capacityMs = settings.domains() * settings.capacity().workPerSecond() * 1000;
        ImmutableList.Builder<RunReport.Second> rows = ImmutableList.builder();
        for (int i = 0; i < groupsBySecond.length; i++) {
            rows.add(new RunReport.Second(
                    i,
                    groupsBySecond[i].jobCount(),
                    workDoneMs[i] / capacityMs,
                    groupsBySecond[i].ratioP99(),
                    groupsBySecond[i].failureCount()));
        }
        return rows.build();
    }

    private static String totalGroupOf(JobPlan job) {
        return job.cancelNanos().isPresent() ? "cancelled" : "all";
    }

    private static String classGroupOf(JobPlan job) {
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
