package org.mustardlink.core;

import java.time.Duration;

/** Estimates waiting times from the expected work of the queued tasks. */
final class BacklogEstimator {
    private static final double MIN_CAPACITY = 1e-3;
    private static final long MIN_RETRY_MS = 50;
    private static final long MAX_RETRY_MS = 30_000;

    private final Tables tables;

    BacklogEstimator(Tables tables) {
        this.tables = tables;
    }

    /** Returns the expected waiting and run time of a job that is not queued yet. */
    JobEstimate estimate(JobRow job, long now) {
        JobRequest request = job.request().orElseThrow();
        double totalWorkMs = 0;
        double longestWorkMs = 0;
        for (TaskRow task : job.tasks()) {
            totalWorkMs += task.expectedWorkMs();
            longestWorkMs = Math.max(longestWorkMs, task.expectedWorkMs());
        }
        double capacity = Math.max(MIN_CAPACITY, tables.targets().capacity(request.service()));
        double runMs =
                Math.max(longestWorkMs / tables.targets().fastestSpeed(request.service()), totalWorkMs / capacity);
        return new JobEstimate(waitMs(request), runMs, (job.deadlineNanos() - now) / 1e6, job.logError());
    }

    /** Returns the expected time until a new job of the same team would be started, in milliseconds. */
    double waitMs(JobRequest request) {
        double capacity = Math.max(MIN_CAPACITY, tables.targets().capacity(request.service()));
        return tables.queue()
                .find(request.service())
                .map(queue -> workAheadMs(queue, request.team()) / capacity)
                .orElse(0.0);
    }

    /** Returns the work ahead of a new job: the team's queue divided by its share, limited to the whole queue. */
    private double workAheadMs(ServiceQueue queue, String team) {
        double teamWorkMs = queue.team(team).map(TeamFlow::workMs).orElse(0.0);
        double weight = tables.teams().quotaOf(team).weight();
        double totalWeight = queue.totalWeight() + (queue.team(team).isPresent() ? 0 : weight);
        return Math.min(queue.workMs(), teamWorkMs * totalWeight / weight);
    }

    /** Returns the retry-after time that follows from the team's backlog, with jitter. */
    Duration retryAfter(JobRequest request, SubmissionId id) {
        return jitterRetryAfter(Duration.ofMillis(Math.round(waitMs(request))), id);
    }

    /** Limits a retry-after time to its bounds and adds jitter of up to a half, derived from the submission id. */
    static Duration jitterRetryAfter(Duration time, SubmissionId id) {
        long ms = Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, time.toMillis()));
        return Duration.ofMillis(ms + ms * Math.floorMod(id.hashCode(), 64) / 128);
    }
}
