package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Attributes failures to targets or jobs, and ejects targets that fail or stall. */
final class HealthSystem implements DispatchSystem {
    /** Failed jobs kept; enough to recognize a failing job that is submitted repeatedly. */
    private static final int MAX_FAILED_JOBS = 1024;

    /** Interval between two checks for stalled targets, in nanoseconds. */
    private static final long STALL_CHECK_INTERVAL_NANOS = 50_000_000;

    private final EjectionPolicy policy;
    private final Map<Long, FailedJob> failedJobs = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, FailedJob> _eldest) {
            return size() > MAX_FAILED_JOBS;
        }
    };
    private long lastStallCheckNanos = Long.MIN_VALUE;

    /** A failed job with the only target that it failed on; empty once it has failed on several targets. */
    private record FailedJob(Optional<TargetRow> onlyTarget) {}

    HealthSystem(EjectionPolicy policy) {
        this.policy = policy;
    }

    /** Updates the health of the target that ran the attempt. */
    void attemptEnded(Tables tables, AttemptTable.AttemptRow attempt, AttemptResult result, long now) {
        TargetRow target = attempt.target();
        if (result instanceof AttemptResult.Completed) {
            target.recordSuccess(now);
        } else if (result instanceof AttemptResult.Lost) {
            if (recordJobFailure(attempt)) {
                recordTargetFailure(tables, target, now);
            }
        } else if (result instanceof AttemptResult.NotStarted refused
                && refused.cause() != AttemptResult.NotStartedCause.HOST_PAUSED) {
            target.recordRefusal(now);
            if (refused.cause() == AttemptResult.NotStartedCause.NO_CONNECTION || target.refusesRepeatedly()) {
                recordTargetFailure(tables, target, now);
            }
        }
    }

    /**
     * Records the failure of a job and returns whether it counts against the target. Each job counts once against one
     * target; once it has failed on a second target, the failure is attributed to the job and reverted.
     */
    private boolean recordJobFailure(AttemptTable.AttemptRow attempt) {
        long fingerprint = attempt.task().job().fingerprint().orElseThrow();
        FailedJob failedJob = failedJobs.get(fingerprint);
        if (failedJob == null) {
            failedJobs.put(fingerprint, new FailedJob(Optional.of(attempt.target())));
            return true;
        }
        if (failedJob.onlyTarget().isPresent() && failedJob.onlyTarget().get() != attempt.target()) {
            failedJob.onlyTarget().get().withdrawFailure();
            failedJobs.put(fingerprint, new FailedJob(Optional.empty()));
        }
        return false;
    }

    private void recordTargetFailure(Tables tables, TargetRow target, long now) {
        target.recordFailure();
        ejectIfFailing(tables, target, now);
    }

    private void ejectIfFailing(Tables tables, TargetRow target, long now) {
        if (target.isEjected(now)) {
            return;
        }
        ImmutableList<TargetRow> targetsOfService =
                tables.targets().ofService(target.spec().service());
        long sharedTargets =
                targetsOfService.stream().filter(TargetRow::hasShare).count();
        long ejectedTargets = targetsOfService.stream()
                .filter(row -> row.hasShare() && row.isEjected(now))
                .count();
        double ejectedShare = sharedTargets == 0 ? 1 : (ejectedTargets + 1.0) / sharedTargets;
        policy.ejectionPause(target.health(ejectedShare)).ifPresent(pause -> {
            target.eject(now + pause.toNanos());
            tables.counters().countEjection();
        });
    }

    @Override
    public void run(Tables tables, long now, Consumer<Command> _out) {
        if (lastStallCheckNanos != Long.MIN_VALUE && now - lastStallCheckNanos < STALL_CHECK_INTERVAL_NANOS) {
            return;
        }
        lastStallCheckNanos = now;
        for (TargetRow target : tables.targets().all()) {
            if (!target.isEjected(now) && target.isStalled(now)) {
                target.markStalled();
                ejectIfFailing(tables, target, now);
            }
        }
    }
}
