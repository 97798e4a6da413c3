package org.mustardlink.pool;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import com.google.common.collect.Lists;
import com.google.common.collect.Maps;
import com.google.common.collect.Multiset;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The pending starts that a host knows of. As long as one is known for a job, no pool may start the job.
 *
 * <p>Each host keeps what its own masters and the other hosts state. The master of the target's pool, which may be a
 * later one than the master that ordered the start, repeats the statement until the target has confirmed a higher fencing
 * token, and then states that the start is refused. So neither the end of a host nor a takeover of the pool loses a
 * start that has been stated once. The refusal ends with the process of the target: while the target is silent and until
 * its next process has confirmed a token, the start is pending again. A start that nobody states any more, because its
 * target has left for good, is forgotten after {@link #HOLD_NANOS}, and so is a refused one.
 *
 * <p>Not thread-safe. Every method takes the current time, in nanoseconds of a monotonic clock.
 */
public final class PendingStarts {
    /** Interval at which a statement is repeated. A caller sends a job again 1.3 s later, so three may be lost. */
    static final long REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /**
     * Time for which a start counts as pending that no master states any more. A pool whose targets are still listed gets its
     * next master earlier, and an order is carried out some seconds late at most.
     */
    static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(15);
    /** Time for which it is repeated that a start is refused; a host that misses all repetitions was cut off. */
    private static final long REFUSED_REPEAT_NANOS = 4 * REPEAT_INTERVAL_NANOS;
    /** Maximum number of starts that are kept, which bounds memory; the ones stated first are dropped. */
    static final int MAX_STARTS = 10_000;
    /** Maximum number of pending starts in a statement, which then takes some 30 kB. */
    static final int MAX_STATED = 500;

    private final Map<PendingStart, Hold> holds = new LinkedHashMap<>();
    /** The jobs of the starts that are pending, once for each start. */
    private final Multiset<String> jobs = HashMultiset.create();

    private final Map<PendingStart, Long> refusedStatedUntilNanos = new LinkedHashMap<>();
    private Optional<Long> statedNanos = Optional.empty();

    /**
     * What is known of a start.
     *
     * @param untilNanos when the start is forgotten unless it is stated again
     * @param orderedHere whether a master of this host ordered the start, so that the other hosts may not know of it
     * @param refused whether the current process of the target refuses the start
     * @param refusedBefore whether a process of the target has refused the start; its time isn't extended any more
     */
    private record Hold(long untilNanos, boolean orderedHere, boolean refused, boolean refusedBefore) {
        Duration remaining(long now) {
            return Duration.ofNanos(untilNanos - now);
        }

        Hold pendingUntil(long nanos, boolean byThisHost) {
            return new Hold(Math.max(untilNanos, nanos), orderedHere || byThisHost, false, refusedBefore);
        }

        Hold asRefused() {
            return new Hold(untilNanos, orderedHere, true, true);
        }
    }

    /** Returns whether a start of a task of the job may still be carried out by some target. */
    public boolean contains(String job) {
        return jobs.contains(job);
    }

    /** Records the starts that a master of this host has ordered, and that stay pending when it is released. */
    public void recordOwn(Collection<PendingStart> starts, long now) {
        for (PendingStart start : starts) {
            refusedStatedUntilNanos.remove(start);
            holdUntil(start, true, now + HOLD_NANOS);
        }
    }

    /** Records the statement of another host. */
    public void record(PendingStartStatement statement, long now) {
        statement
                .pending()
                .forEach((start, time) -> holdUntil(start, false, now + Math.min(HOLD_NANOS, time.toNanos())));
        statement.refused().forEach(this::markRefused);
    }

    private void holdUntil(PendingStart start, boolean orderedHere, long untilNanos) {
        Hold known = holds.get(start);
        holds.put(
                start,
                known == null
                        ? new Hold(untilNanos, orderedHere, false, false)
                        : known.pendingUntil(untilNanos, orderedHere));
        if (known == null || known.refused()) {
            jobs.add(start.job());
        }
        if (holds.size() > MAX_STARTS) {
            PendingStart first = Iterables.getFirst(holds.keySet(), start);
            if (!holds.remove(first).refused()) {
                jobs.remove(first.job());
            }
        }
    }

    private void markRefused(PendingStart start) {
        Hold known = holds.get(start);
        if (known != null && !known.refused()) {
            holds.put(start, known.asRefused());
            jobs.remove(start.job());
        }
    }

    /**
     * Updates the known starts by what the masters of this host know, and tells the masters all pending starts. Returns
     * the statements that are due to all other hosts: at once the starts that have become pending, and all starts every
     * {@link #REPEAT_INTERVAL_NANOS}.
     *
     * @param masters the masters of this host
     */
    public ImmutableList<PendingStartStatement> takeDueStatements(Collection<PoolMaster> masters, long now) {
        expire(now);
        ImmutableSet.Builder<PendingStart> builder = ImmutableSet.builder();
        masters.forEach(master -> builder.addAll(master.pendingStarts()).addAll(master.takeUnansweredStarts()));
        ImmutableSet<PendingStart> ordered = builder.build();
        boolean due = statedNanos.isEmpty() || now - statedNanos.get() >= REPEAT_INTERVAL_NANOS;
        ImmutableSet<PendingStart> added =
                ImmutableSet.copyOf(Sets.union(Sets.difference(ordered, pendingStarts()), startsPendingAgain(masters)));
        recordOwn(due ? ordered : Sets.intersection(ordered, added), now);
        // Some of them may just have been dropped because there are too many.
        ImmutableSet<PendingStart> kept =
                Sets.intersection(added, holds.keySet()).immutableCopy();
        kept.forEach(start -> holdUntil(start, false, holds.get(start).untilNanos()));
        if (!due) {
            updateMasters(masters);
            return statements(Maps.toMap(kept, start -> holds.get(start).remaining(now)), ImmutableSet.of());
        }
        Map<PendingStart, Duration> pending = new LinkedHashMap<>();
        for (PendingStart start : ImmutableList.copyOf(holds.keySet())) {
            switch (ordered.contains(start) ? PendingStart.Status.POSSIBLE : statusOf(start, masters)) {
                case POSSIBLE -> {
                    Hold hold = holds.get(start);
                    refusedStatedUntilNanos.remove(start);
                    holdUntil(start, false, hold.refusedBefore() ? hold.untilNanos() : now + HOLD_NANOS);
                    pending.put(start, holds.get(start).remaining(now));
                }
                case REFUSED -> {
                    if (!holds.get(start).refused()) {
                        markRefused(start);
                        refusedStatedUntilNanos.put(start, now + REFUSED_REPEAT_NANOS);
                    }
                }
                case UNKNOWN -> {
                    Hold hold = holds.get(start);
                    if (hold.orderedHere() && !hold.refused()) {
                        pending.put(start, hold.remaining(now));
                    }
                }
            }
        }
        updateMasters(masters);
        if (pending.isEmpty() && refusedStatedUntilNanos.isEmpty()) {
            return ImmutableList.of();
        }
        statedNanos = Optional.of(now);
        return statements(pending, refusedStatedUntilNanos.keySet());
    }

    private Set<PendingStart> pendingStarts() {
        return Maps.filterValues(holds, hold -> !hold.refused()).keySet();
    }

    /** Returns the refused starts that may be carried out now, because their target has started again or may have. */
    private ImmutableSet<PendingStart> startsPendingAgain(Collection<PoolMaster> masters) {
        return Maps.filterValues(holds, Hold::refused).keySet().stream()
                .filter(start -> statusOf(start, masters) == PendingStart.Status.POSSIBLE)
                .collect(ImmutableSet.toImmutableSet());
    }

    private void updateMasters(Collection<PoolMaster> masters) {
        masters.forEach(master -> master.updateEarlierStarts(pendingStarts()));
    }

    /** Returns the statements from which a host that has just been connected learns all known starts. */
    public ImmutableList<PendingStartStatement> known(long now) {
        expire(now);
        return Lists.partition(ImmutableList.copyOf(holds.entrySet()), MAX_STATED).stream()
                .map(part -> knownStatement(part, now))
                .collect(ImmutableList.toImmutableList());
    }

    private static PendingStartStatement knownStatement(List<Map.Entry<PendingStart, Hold>> part, long now) {
        ImmutableMap.Builder<PendingStart, Duration> times = ImmutableMap.builder();
        ImmutableList.Builder<PendingStart> refused = ImmutableList.builder();
        for (Map.Entry<PendingStart, Hold> entry : part) {
            times.put(entry.getKey(), entry.getValue().remaining(now));
            if (entry.getValue().refused()) {
                refused.add(entry.getKey());
            }
        }
        return new PendingStartStatement(times.buildOrThrow(), refused.build());
    }

    private void expire(long now) {
        refusedStatedUntilNanos.values().removeIf(untilNanos -> now >= untilNanos);
        Iterator<Map.Entry<PendingStart, Hold>> entries = holds.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<PendingStart, Hold> entry = entries.next();
            if (now >= entry.getValue().untilNanos()) {
                entries.remove();
                if (!entry.getValue().refused()) {
                    jobs.remove(entry.getKey().job());
                }
            }
        }
    }

    private static PendingStart.Status statusOf(PendingStart start, Collection<PoolMaster> masters) {
        ImmutableSet<PendingStart.Status> statuses =
                masters.stream().map(master -> master.statusOf(start)).collect(ImmutableSet.toImmutableSet());
        if (statuses.contains(PendingStart.Status.REFUSED)) {
            return PendingStart.Status.REFUSED;
        }
        return statuses.contains(PendingStart.Status.POSSIBLE)
                ? PendingStart.Status.POSSIBLE
                : PendingStart.Status.UNKNOWN;
    }

    private static ImmutableList<PendingStartStatement> statements(
            Map<PendingStart, Duration> pending, Set<PendingStart> refused) {
        List<List<Map.Entry<PendingStart, Duration>>> pendingParts =
                Lists.partition(ImmutableList.copyOf(pending.entrySet()), MAX_STATED);
        List<List<PendingStart>> refusedParts = Lists.partition(ImmutableList.copyOf(refused), MAX_STATED);
        ImmutableList.Builder<PendingStartStatement> statements = ImmutableList.builder();
        for (int i = 0; i < Math.max(pendingParts.size(), refusedParts.size()); i++) {
            statements.add(new PendingStartStatement(
                    ImmutableMap.copyOf(part(pendingParts, i)), ImmutableList.copyOf(part(refusedParts, i))));
        }
        return statements.build();
    }

    private static <T> List<T> part(List<List<T>> parts, int index) {
        return index < parts.size() ? parts.get(index) : ImmutableList.of();
    }
}
