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

/** Keeps what a master orders, in order. */
final class RecordedOrders implements PoolActions {
    final List<RunId> starts = new ArrayList<>();
    final List<String> startedOn = new ArrayList<>();
    final List<RunId> stops = new ArrayList<>();
    final List<JobResult> results = new ArrayList<>();
    final List<String> fenced = new ArrayList<>();
    private final List<LeaseExtension> holds = new ArrayList<>();
    private final Map<String, LeaseExtension> lastHolds = new HashMap<>();
    private final Multiset<String> heldTargets = HashMultiset.create();

    /** Returns the first master of a pool, whose orders are kept here; no other pool has room. */
    PoolMaster masterOf(PoolId pool) {
        return masterOf(pool, _order -> Optional.empty());
    }

    /** Returns the first master of a pool beside other pools that may have room. */
    PoolMaster masterOf(PoolId pool, Function<JobOrder, Optional<PoolId>> otherPool) {
        return masterOf(pool, otherPool, _now -> true);
    }

    /** Returns the first master of a pool whose list of targets may be incomplete. */
    PoolMaster masterOf(PoolId pool, Function<JobOrder, Optional<PoolId>> otherPool, LongPredicate listComplete) {
        return new PoolMaster(
                pool,
                FencingToken.firstOfRound(1, 1),
                new LeaseLimits(Duration.ofSeconds(1)),
                this,
                otherPool,
                listComplete,
                0);
    }

    @Override
    public void startRun(TargetEntry target, RunId run, String _payload, long _deadlineMs, long _fencingToken) {
        starts.add(run);
        startedOn.add(target.id());
    }

    @Override
    public void stopRun(TargetEntry _target, RunId run, long _fencingToken) {
        stops.add(run);
    }

    @Override
    public void extendLease(TargetEntry target, LeaseExtension order) {
        holds.add(order);
        lastHolds.put(target.id(), order);
        heldTargets.add(target.id());
    }

    @Override
    public void sendResult(RequestId _request, String _job, JobResult result) {
        results.add(result);
    }

    @Override
    public void reportFenced(TargetEntry target) {
        fenced.add(target.id());
    }

    @Override
    public void logJobChange(String _job, String _change, String _reason) {}

    @Override
    public void logTargetChange(TargetEntry _target, String _change, String _reason) {}

    /** Takes the newest request for a report that is open. */
    long takeHold() {
        return holds.remove(holds.size() - 1).sequenceNumber();
    }

    /** Returns how often a target's report was asked for. */
    int holdsOf(String target) {
        return heldTargets.count(target);
    }

    /** Returns the newest request for a report of a target. */
    LeaseExtension lastHold(String target) {
        return lastHolds.get(target);
    }
}
