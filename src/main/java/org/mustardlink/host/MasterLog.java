package org.mustardlink.host;

import java.util.concurrent.TimeUnit;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.JobSummary;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;
import org.mustardlink.pool.RunId;
import org.mustardlink.pool.StartTiming;
import org.mustardlink.pool.TargetEntry;

/** Logs what the master of a pool decides under one claim. */
final class MasterLog {
    private final EventLog log;
    private final PoolId pool;
    private final int round;

    /**
     * Creates the log of a master.
     *
     * @param round round of the claim under which this host is the master of the pool
     */
    MasterLog(EventLog log, PoolId pool, int round) {
        this.log = log;
        this.pool = pool;
        this.round = round;
    }

    /** Logs the start of a run, under an event of its own if the task is expected to miss the caller's deadline. */
    void logStart(TargetEntry target, RunId run, StartTiming timing) {
        LogEvent event = timing.missesDeadline() ? LogEvent.RUN_AT_RISK : LogEvent.RUN_STARTED;
        if (!log.isEnabled(event)) {
            // Starts are frequent: not even an empty line is created.
            return;
        }
        log.line(event)
                .with(LogField.JOB, run.task().job())
                .with(LogField.POOL, pool)
                .with(LogField.ROUND, round)
                .with(LogField.TARGET, target.id())
                .with(LogField.STEP, run.task().step())
                .with(LogField.TASK_INDEX, run.task().index())
                .with(LogField.ATTEMPT, run.attempt())
                .with(LogField.EXPECTED_MS, TimeUnit.NANOSECONDS.toMillis(timing.expectedNanos()))
                .with(LogField.LEFT_MS, TimeUnit.NANOSECONDS.toMillis(timing.leftNanos()))
                .with(LogField.WAITED_MS, TimeUnit.NANOSECONDS.toMillis(timing.waitedNanos()))
                .write();
    }

    /**
     * Logs the end of a job for one of its requests.
     *
     * @param elapsedMs time since the order of the request arrived, -1 if that is unknown
     * @param load load of the pool
     */
    void logJobEnd(JobSummary job, JobResult result, long elapsedMs, PoolLoad load) {
        EventLog.Line line = log.line(LogEvent.JOB_ENDED)
                .with(LogField.JOB, job.id())
                .with(LogField.POOL, pool)
                .with(LogField.ROUND, round)
                .with(LogField.ANSWER, result.getClass().getSimpleName())
                .with(LogField.REASON, result)
                .with(LogField.ELAPSED_MS, elapsedMs)
                .with(LogField.FREE_CPU, load.freeCpuMillis())
                .with(LogField.WIDEST_CPU, load.maxTargetFreeCpuMillis())
                .with(LogField.WORK, Math.round(job.workMilliCoreNanos() / TimeUnit.SECONDS.toNanos(1)));
        job.starts().map(starts -> withStarts(line, starts)).orElse(line).write();
    }

    private static EventLog.Line withStarts(EventLog.Line line, JobSummary.Starts starts) {
        return line.with(LogField.FIRST_START_MS, TimeUnit.NANOSECONDS.toMillis(starts.firstNanos()))
                .with(LogField.LAST_START_MS, TimeUnit.NANOSECONDS.toMillis(starts.lastNanos()))
                .with(LogField.LEAST_LEFT_PERCENT, starts.leastLeftPercent());
    }

    /** Logs a decision about a job. */
    void logJobChange(String job, String change, String reason) {
        log.line(LogEvent.JOB_CHANGED)
                .with(LogField.JOB, job)
                .with(LogField.POOL, pool)
                .with(LogField.ROUND, round)
                .with(LogField.CHANGE, change)
                .with(LogField.REASON, reason)
                .write();
    }

    /** Logs a change of a target. */
    void logTargetChange(TargetEntry target, String change, String reason) {
        log.line(LogEvent.TARGET_CHANGED)
                .with(LogField.TARGET, target.id())
                .with(LogField.POOL, pool)
                .with(LogField.ROUND, round)
                .with(LogField.CHANGE, change)
                .with(LogField.REASON, reason)
                .write();
    }
}
