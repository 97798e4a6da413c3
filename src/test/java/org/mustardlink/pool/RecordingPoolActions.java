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
import java.util.function.LongPredicate;

/** Records the orders and results of a master in the order in which it issues them. */
final class RecordingPoolActions implements PoolActions {
    final List<RunId> startedRuns = new ArrayList<>();
    final List<String> startTargets = new ArrayList<>();
    final List<RunId> stoppedRuns = new ArrayList<>();
    final List<JobResult> results = new ArrayList<>();
    final List<String> fenced = new ArrayList<>();
    private final List<HoldOrder> holds = new ArrayList<>();
    private final Map<String, HoldOrder> lastHolds = new HashMap<>();
    private final Multiset<String> holdTargets = HashMultiset.create();

    /** Creates the first master of a pool, whose actions are recorded here; no other pool has room. */
    PoolMaster newMaster(PoolId pool) {
        return newMaster(pool, _order -> Optional.empty());
    }

    /** Creates the first master of a pool, given a function that returns another pool with room for a job. */
    PoolMaster newMaster(PoolId pool, Function<JobOrder, Optional<PoolId>> otherPool) {
        return newMaster(pool, otherPool, _now -> true);
    }

    /**
     * Creates the first master of a pool, given also a predicate that tells whether its list of targets is complete.
     */
    PoolMaster newMaster(PoolId pool, Function<JobOrder, Optional<PoolId>> otherPool, LongPredicate listComplete) {
        return new PoolMaster(
                pool, FencingToken.of(1, 1), new PoolBounds(Duration.ofSeconds(1)), this, otherPool, listComplete, 0);
    }

    @Override
    public void start(TargetEntry target, RunId run, String _payload, long _deadlineMs, long _fence) {
        startedRuns.add(run);
        startTargets.add(target.id());
    }

    @Override
    public void stop(TargetEntry _target, RunId run, long _fence) {
        stoppedRuns.add(run);
    }

    @Override
    public void hold(TargetEntry target, HoldOrder order) {
        holds.add(order);
        lastHolds.put(target.id(), order);
        holdTargets.add(target.id());
    }

    @Override
    public void finished(RequestId _request, String _job, JobResult result) {
        results.add(result);
    }

    @Override
    public void fenced(TargetEntry target) {
        fenced.add(target.id());
    }

    @Override
    public void jobChanged(String _job, String _change, String _why) {}

    @Override
    public void targetChanged(TargetEntry _target, String _change, String _why) {}

    /** Removes the newest recorded report request of any target and returns its number. */
    long takeLastHoldNumber() {
        return holds.remove(holds.size() - 1).number();
    }

    /** Returns how many reports were requested of a target. */
    int holdCount(String target) {
        return holdTargets.count(target);
    }

    /** Returns the newest report request to a target. */
    HoldOrder lastHold(String target) {
        return lastHolds.get(target);
    }
}
