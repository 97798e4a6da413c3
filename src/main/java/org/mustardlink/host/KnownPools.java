package org.mustardlink.host;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mustardlink.front.PoolDirectory;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.PoolLoad;

/** The pools known to a host, with their masters and loads. The loads of other hosts' pools come from heartbeats. */
final class KnownPools implements PoolDirectory {
    /**
     * Age beyond which a reported load does not show whether a pool has free capacity: in a busy pool a task ends every
     * few milliseconds, and the shortest kinds of tasks run for 60 ms.
     */
    private static final long MAX_LOAD_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final PoolOwnership ownership;
    private final PoolRunner poolRunner;
    private final PeerMonitor peerMonitor;

    KnownPools(PoolOwnership ownership, PoolRunner poolRunner, PeerMonitor peerMonitor) {
        this.ownership = ownership;
        this.poolRunner = poolRunner;
        this.peerMonitor = peerMonitor;
    }

    @Override
    public ImmutableList<PoolId> pools(String service) {
        return ownership.pools().stream()
                .filter(pool -> pool.service().equals(service))
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public Optional<Claim> master(PoolId pool, long now) {
        return ownership.master(pool, now);
    }

    @Override
    public PoolLoad load(PoolId pool) {
        return poolRunner.load(pool, System.nanoTime()).orElseGet(() -> peerMonitor.load(pool));
    }

    @Override
    public boolean mayHaveCapacity(PoolId pool, JobOrder order, long now) {
        return load(pool).coversFirstStep(order)
                || (poolRunner.load(pool, now).isEmpty()
                        && now - peerMonitor.loadReceivedNanos(pool) > MAX_LOAD_AGE_NANOS);
    }

    /**
     * Returns another pool of the service with free capacity for the whole first step of a job, and reserves
     * that capacity.
     */
    Optional<PoolId> reservePoolWithCapacity(PoolId pool, JobOrder order) {
        long now = System.nanoTime();
        int taskCpuMillis = order.steps().get(0).need().cpuMillis();
        int neededCpuMillis = order.steps().get(0).taskCount() * taskCpuMillis;
        Optional<PoolId> found = pools(pool.service()).stream()
                .filter(candidate ->
                        !candidate.equals(pool) && master(candidate, now).isPresent())
                .filter(candidate -> load(candidate).freeCpuMillis() >= neededCpuMillis
                        && load(candidate).maxTargetFreeCpuMillis() >= taskCpuMillis)
                .max(Comparator.<PoolId, Boolean>comparing(
                                candidate -> candidate.domain().equals(pool.domain()))
                        .thenComparing(candidate -> load(candidate).freeCpuMillis()));
        found.ifPresent(chosen -> peerMonitor.reserveCpu(chosen, neededCpuMillis));
        return found;
    }
}
