package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Attributes failures to targets or jobs and ejects targets that fail or stall. */
final class HealthSystem implements DispatchSystem {
    /** Jobs whose failures are remembered; enough to recognize a failing job that is submitted again and again. */
    private static final int REMEMBERED_JOBS = 1024;

    /** Time between two searches for stalled targets, in nanoseconds. */
    private static final long STALL_CHECK_NANOS = 50_000_000;

    private final EjectionPolicy policy;
    private final Map<Long, FailedJob> failedJobs = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, FailedJob> _eldest) {
            return size() > REMEMBERED_JOBS;
        }
    };
    private long checkedNanos = Long.MIN_VALUE;

    /** A job that failed, with the target that it failed on first, or empty once it failed on another one too. */
    private record FailedJob(Optional<TargetRow> only) {}

    HealthSystem(EjectionPolicy policy) {
        this.policy = policy;
    }

    /** Takes the end of an attempt into account. */
    void ended(Tables tables, AttemptTable.AttemptRow attempt, AttemptResult result, long now) {
        TargetRow target = attempt.target();
        if (result instanceof AttemptResult.Completed) {
            target.succeeded(now);
        } else if (result instanceof AttemptResult.Lost) {
            if (isTargetsFault(attempt)) {
                failed(tables, target, now);
            }
        } else if (result instanceof AttemptResult.NotStarted refused
                && refused.cause() != AttemptResult.NotStartedCause.HOST_PAUSED) {
            target.refused(now);
            if (refused.cause() == AttemptResult.NotStartedCause.NO_CONNECTION || target.refusesAlways()) {
                failed(tables, target, now);
            }
        }
    }

    /** A job counts once against a target, and against none once it failed on two. */
    private boolean isTargetsFault(AttemptTable.AttemptRow attempt) {
        long job = attempt.task().job().fingerprint().orElseThrow();
        FailedJob known = failedJobs.get(job);
        if (known == null) {
            failedJobs.put(job, new FailedJob(Optional.of(attempt.target())));
            return true;
        }
        if (known.only().isPresent() && known.only().get() != attempt.target()) {
            known.only().get().withdrawFailure();
            failedJobs.put(job, new FailedJob(Optional.empty()));
        }
        return false;
    }

    private void failed(Tables tables, TargetRow target, long now) {
        target.failed();
        consider(tables, target, now);
    }

    private void consider(Tables tables, TargetRow target, long now) {
        if (target.isEjected(now)) {
            return;
        }
        ImmutableList<TargetRow> peers = tables.targets().of(target.spec().service());
        long own = peers.stream().filter(TargetRow::isOwn).count();
        long ejected =
                peers.stream().filter(row -> row.isOwn() && row.isEjected(now)).count();
        double share = own == 0 ? 1 : (ejected + 1.0) / own;
        policy.eject(target.health(share)).ifPresent(pause -> {
            target.eject(now + pause.toNanos());
            tables.counters().ejected();
        });
    }

    @Override
    public void run(Tables tables, long now, Consumer<Command> _out) {
        if (checkedNanos != Long.MIN_VALUE && now - checkedNanos < STALL_CHECK_NANOS) {
            return;
        }
        checkedNanos = now;
        for (TargetRow target : tables.targets().all()) {
            if (!target.isEjected(now) && target.isStalled(now)) {
                target.stalled();
                consider(tables, target, now);
            }
        }
    }
}
