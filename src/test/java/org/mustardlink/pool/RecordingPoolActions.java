package org.mustardlink.pool;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Records the orders and results of a master in the order in which it issues them. */
final class RecordingPoolActions implements PoolActions {
    final List<RunId> startedRuns = new ArrayList<>();
    final List<String> startTargets = new ArrayList<>();
    final List<RunId> stoppedRuns = new ArrayList<>();
    final List<JobResult> results = new ArrayList<>();
    final List<JobSummary> summaries = new ArrayList<>();
    final List<StartTiming> startTimings = new ArrayList<>();
    final List<String> fenced = new ArrayList<>();
    /** Number of jobs planned in each placement. */
    final List<Integer> placements = new ArrayList<>();
    /** Tells for which requests callers are known to wait; by default for all of them. */
    RequestConfirmations confirmations = (_request, now) -> now;

    /** The pending starts that the host of the masters knows of. */
    private final PendingStarts knownStarts = new PendingStarts();

    private final List<LeaseExtension> extensions = new ArrayList<>();
    private final Map<String, LeaseExtension> lastExtensions = new HashMap<>();
    private final Multiset<String> extensionTargets = HashMultiset.create();

    /** Creates the first master of a pool, whose actions are recorded here; no other pool has capacity. */
    PoolMaster newMaster(PoolId pool) {
        return newMaster(pool, _order -> Optional.empty());
    }

    /** Creates the first master of a pool, given a function that returns another pool with capacity for a job. */
    PoolMaster newMaster(PoolId pool, Function<JobOrder, Optional<PoolId>> otherPool) {
        return newMaster(pool, otherPool, (_since, _now) -> true);
    }

    /**
     * Creates the first master of a pool, given also a function that tells whether its list of targets is complete.
     */
    PoolMaster newMaster(PoolId pool, Function<JobOrder, Optional<PoolId>> otherPool, TargetListStatus listStatus) {
        return new PoolMaster(
                pool,
                FencingToken.firstOfRound(1, 1),
                new LeaseLimits(Duration.ofSeconds(1), Duration.ofMillis(1_300)),
                confirmations,
                this,
                otherPool,
                knownStarts,
                listStatus,
                0);
    }

    @Override
    public void startRun(TargetEntry target, RunId run, String _payload, long _deadlineMs, long _fencingToken) {
        startedRuns.add(run);
        startTargets.add(target.id());
    }

    @Override
    public void stopRun(TargetEntry _target, RunId run, long _fencingToken) {
        stoppedRuns.add(run);
    }

    @Override
    public void extendLease(TargetEntry target, LeaseExtension order) {
        extensions.add(order);
        lastExtensions.put(target.id(), order);
        extensionTargets.add(target.id());
    }

    @Override
    public void sendResult(RequestId _request, JobSummary job, JobResult result) {
        results.add(result);
        summaries.add(job);
    }

    @Override
    public void reportFenced(TargetEntry target) {
        fenced.add(target.id());
    }

    @Override
    public void recordPlacement(int plannedJobs) {
        placements.add(plannedJobs);
    }

    @Override
    public void logStart(TargetEntry _target, RunId _run, StartTiming timing) {
        startTimings.add(timing);
    }

    @Override
    public void logJobChange(String _job, String _change, String _reason) {}

    @Override
    public void logTargetChange(TargetEntry _target, String _change, String _reason) {}

    /** Removes the newest recorded lease extension of any target and returns its number. */
    long takeLastExtensionNumber() {
        return extensions.remove(extensions.size() - 1).sequenceNumber();
    }

    /** Returns how many lease extensions were sent to a target. */
    int extensionCount(String target) {
        return extensionTargets.count(target);
    }

    /** Returns the newest lease extension sent to a target. */
    LeaseExtension lastExtension(String target) {
        return lastExtensions.get(target);
    }
}
