package org.mustardlink.pool;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Lists;
import com.google.common.collect.Maps;
import com.google.common.collect.SetMultimap;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
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
 * <p>No start is forgotten for lack of memory. The masters of this host order no starts while {@link #MAX_STARTS_BEFORE_SUSPENSION}
 * or more are known, counting their own that await a response, so all starts of this host can be kept. Of the starts
 * that other hosts state, {@link #MAX_STARTS} are kept; while a further one is pending, any job may be the one that it
 * belongs to.
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
    /** Number of known starts above which a start that another host states isn't kept. */
    static final int MAX_STARTS = 10_000;
    /**
     * Number of known starts from which no further one is ordered. The rest of {@link #MAX_STARTS} is for the starts that
     * masters of other hosts have ordered by then and haven't stated yet.
     */
    static final int MAX_STARTS_BEFORE_SUSPENSION = MAX_STARTS / 2;
    /** Maximum number of pending starts in a statement, which then takes some 30 kB. */
    static final int MAX_STATED = 500;

    private final Map<PendingStart, Hold> holds = new LinkedHashMap<>();
    /** The starts that are pending, by job. */
    private final SetMultimap<String, PendingStart> pendingByJob = HashMultimap.create();

    private final Map<PendingStart, Long> refusedStatedUntilNanos = new LinkedHashMap<>();
    private Optional<Long> statedNanos = Optional.empty();
    /** When the last start ends that another host has stated and that isn't kept; empty if all pending ones are kept. */
    private Optional<Long> unlistedUntilNanos = Optional.empty();
    /** Number of masters of this host, which share the number of starts that may be ordered. */
    private int masterCount;

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
        return unlistedUntilNanos.isPresent() || pendingByJob.containsKey(job);
    }

    /** Returns the pending starts of a job, as far as they are kept. */
    Set<PendingStart> startsOf(String job) {
        return Collections.unmodifiableSet(pendingByJob.get(job));
    }

    /** Returns how many unconfirmed starts a master of this host may have before it stops ordering further ones. */
    int maxUnconfirmedStartsPerMaster() {
        return unlistedUntilNanos.isPresent()
                ? 0
                : Math.max(0, MAX_STARTS_BEFORE_SUSPENSION - holds.size()) / Math.max(1, masterCount);
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
        statement.pending().forEach((start, time) -> recordForeign(start, now + limitedHoldNanos(time)));
        statement.refused().forEach(this::markRefused);
        if (!statement.unlisted().isZero()) {
            recordUnlisted(now + limitedHoldNanos(statement.unlisted()));
        }
    }

    private static long limitedHoldNanos(Duration time) {
        return Math.min(HOLD_NANOS, time.toNanos());
    }

    private void recordForeign(PendingStart start, long untilNanos) {
        if (holds.size() < MAX_STARTS || holds.containsKey(start)) {
            holdUntil(start, false, untilNanos);
        } else {
            recordUnlisted(untilNanos);
        }
    }

    private void recordUnlisted(long untilNanos) {
        unlistedUntilNanos = Optional.of(Math.max(unlistedUntilNanos.orElse(untilNanos), untilNanos));
    }

    private void holdUntil(PendingStart start, boolean orderedHere, long untilNanos) {
        Hold known = holds.get(start);
        holds.put(
                start,
                known == null
                        ? new Hold(untilNanos, orderedHere, false, false)
                        : known.pendingUntil(untilNanos, orderedHere));
        pendingByJob.put(start.job(), start);
    }

    private void markRefused(PendingStart start) {
        Hold known = holds.get(start);
        if (known != null && !known.refused()) {
            holds.put(start, known.asRefused());
            pendingByJob.remove(start.job(), start);
        }
    }

    /**
     * Updates the known starts by what the masters of this host know. Returns the statements that are due to all other
     * hosts: at once the starts that have become pending, and all starts every {@link #REPEAT_INTERVAL_NANOS}.
     *
     * @param masters the masters of this host
     */
    public ImmutableList<PendingStartStatement> takeDueStatements(Collection<PoolMaster> masters, long now) {
        expire(now);
        masterCount = masters.size();
        ImmutableSet.Builder<PendingStart> builder = ImmutableSet.builder();
        masters.forEach(master -> builder.addAll(master.pendingStarts()).addAll(master.takeUnansweredStarts()));
        ImmutableSet<PendingStart> ordered = builder.build();
        boolean due = statedNanos.isEmpty() || now - statedNanos.get() >= REPEAT_INTERVAL_NANOS;
        ImmutableSet<PendingStart> added =
                ImmutableSet.copyOf(Sets.union(Sets.difference(ordered, pendingStarts()), startsPendingAgain(masters)));
        recordOwn(due ? ordered : Sets.intersection(ordered, added), now);
        added.forEach(start -> holdUntil(start, false, holds.get(start).untilNanos()));
        if (!due) {
            return statements(Maps.toMap(added, start -> holds.get(start).remaining(now)), ImmutableSet.of());
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

    /** Returns the statements from which a host that has just been connected learns all known starts. */
    public ImmutableList<PendingStartStatement> known(long now) {
        expire(now);
        ImmutableList.Builder<PendingStartStatement> statements = ImmutableList.builder();
        Lists.partition(ImmutableList.copyOf(holds.entrySet()), MAX_STATED)
                .forEach(part -> statements.add(knownStatement(part, now)));
        unlistedUntilNanos.ifPresent(untilNanos -> statements.add(
                new PendingStartStatement(ImmutableMap.of(), ImmutableList.of(), Duration.ofNanos(untilNanos - now))));
        return statements.build();
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
        return new PendingStartStatement(times.buildOrThrow(), refused.build(), Duration.ZERO);
    }

    private void expire(long now) {
        refusedStatedUntilNanos.values().removeIf(untilNanos -> now >= untilNanos);
        unlistedUntilNanos = unlistedUntilNanos.filter(untilNanos -> now < untilNanos);
        Iterator<Map.Entry<PendingStart, Hold>> entries = holds.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<PendingStart, Hold> entry = entries.next();
            if (now >= entry.getValue().untilNanos()) {
                entries.remove();
                pendingByJob.remove(entry.getKey().job(), entry.getKey());
            }
        }
    }

    private static PendingStart.Status statusOf(PendingStart start, Collection<PoolMaster> masters) {
        PendingStart.Status status = PendingStart.Status.UNKNOWN;
        for (PoolMaster master : masters) {
            switch (master.statusOf(start)) {
                case REFUSED -> {
                    return PendingStart.Status.REFUSED;
                }
                case POSSIBLE -> status = PendingStart.Status.POSSIBLE;
                case UNKNOWN -> {}
            }
        }
        return status;
    }

    private static ImmutableList<PendingStartStatement> statements(
            Map<PendingStart, Duration> pending, Set<PendingStart> refused) {
        List<List<Map.Entry<PendingStart, Duration>>> pendingParts =
                Lists.partition(ImmutableList.copyOf(pending.entrySet()), MAX_STATED);
        List<List<PendingStart>> refusedParts = Lists.partition(ImmutableList.copyOf(refused), MAX_STATED);
        ImmutableList.Builder<PendingStartStatement> statements = ImmutableList.builder();
        for (int i = 0; i < Math.max(pendingParts.size(), refusedParts.size()); i++) {
            statements.add(new PendingStartStatement(
                    ImmutableMap.copyOf(part(pendingParts, i)),
                    ImmutableList.copyOf(part(refusedParts, i)),
                    Duration.ZERO));
        }
        return statements.build();
    }

    private static <T> List<T> part(List<List<T>> parts, int index) {
        return index < parts.size() ? parts.get(index) : ImmutableList.of();
    }
}
