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
 * token, and then states that the start is settled. So neither the end of a host nor a takeover of the pool loses a
 * start that has been stated once. A start that nobody states any more, because its target has left for good, is
 * forgotten after {@link #HOLD_NANOS}.
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
    /** Time for which it is repeated that a start is settled; a host that misses all repetitions was cut off. */
    private static final long SETTLED_REPEAT_NANOS = 4 * REPEAT_INTERVAL_NANOS;
    /** Maximum number of starts that are kept; the ones stated first, of which callers have given up, are dropped. */
    static final int MAX_STARTS = 10_000;
    /** Maximum number of pending starts in a statement, which then takes some 30 kB. */
    static final int MAX_STATED = 500;

    private final Map<PendingStart, Hold> holds = new LinkedHashMap<>();
    private final Multiset<String> jobs = HashMultiset.create();
    private final Map<PendingStart, Long> settledUntilNanos = new LinkedHashMap<>();
    private Optional<Long> statedNanos = Optional.empty();

    /**
     * How long a start is kept.
     *
     * @param untilNanos when the start is forgotten unless it is stated again
     * @param own whether a master of this host ordered the start, so that the other hosts may not know of it
     */
    private record Hold(long untilNanos, boolean own) {
        Duration remaining(long now) {
            return Duration.ofNanos(untilNanos - now);
        }
    }

    /** Returns whether a start of a task of the job may still be carried out by some target. */
    public boolean contains(String job) {
        return jobs.contains(job);
    }

    /** Records the starts that a master of this host has ordered, and that stay pending when it is released. */
    public void recordOwn(Collection<PendingStart> starts, long now) {
        for (PendingStart start : starts) {
            settledUntilNanos.remove(start);
            holdUntil(start, true, now + HOLD_NANOS);
        }
    }

    /** Records the statement of another host. */
    public void record(PendingStartStatement statement, long now) {
        statement
                .pending()
                .forEach((start, time) -> holdUntil(start, false, now + Math.min(HOLD_NANOS, time.toNanos())));
        statement.settled().forEach(this::remove);
    }

    private void holdUntil(PendingStart start, boolean own, long untilNanos) {
        Hold known = holds.get(start);
        holds.put(
                start,
                known == null
                        ? new Hold(untilNanos, own)
                        : new Hold(Math.max(known.untilNanos(), untilNanos), known.own() || own));
        if (known == null) {
            jobs.add(start.job());
            if (holds.size() > MAX_STARTS) {
                remove(Iterables.getFirst(holds.keySet(), start));
            }
        }
    }

    private void remove(PendingStart start) {
        if (holds.remove(start) != null) {
            jobs.remove(start.job());
        }
    }

    /**
     * Updates the known starts by what the masters of this host know, and returns the statements that are due to all
     * other hosts: at once the new pending starts of the masters, and all starts every {@link #REPEAT_INTERVAL_NANOS}.
     *
     * @param masters the masters of this host
     */
    public ImmutableList<PendingStartStatement> review(Collection<PoolMaster> masters, long now) {
        expire(now);
        ImmutableSet.Builder<PendingStart> builder = ImmutableSet.builder();
        masters.forEach(master -> builder.addAll(master.pendingStarts()));
        ImmutableSet<PendingStart> ordered = builder.build();
        boolean due = statedNanos.isEmpty() || now - statedNanos.get() >= REPEAT_INTERVAL_NANOS;
        if (!due) {
            ImmutableSet<PendingStart> added =
                    Sets.difference(ordered, holds.keySet()).immutableCopy();
            recordOwn(added, now);
            return statements(Maps.toMap(added, _start -> Duration.ofNanos(HOLD_NANOS)), ImmutableSet.of());
        }
        recordOwn(ordered, now);
        Map<PendingStart, Duration> pending = new LinkedHashMap<>();
        for (Map.Entry<PendingStart, Hold> entry : ImmutableList.copyOf(holds.entrySet())) {
            PendingStart start = entry.getKey();
            switch (ordered.contains(start) ? PendingStart.Status.POSSIBLE : statusOf(start, masters)) {
                case POSSIBLE -> {
                    holdUntil(start, false, now + HOLD_NANOS);
                    pending.put(start, Duration.ofNanos(HOLD_NANOS));
                }
                case RULED_OUT -> {
                    remove(start);
                    settledUntilNanos.put(start, now + SETTLED_REPEAT_NANOS);
                }
                case UNKNOWN -> {
                    if (entry.getValue().own()) {
                        pending.put(start, entry.getValue().remaining(now));
                    }
                }
            }
        }
        if (pending.isEmpty() && settledUntilNanos.isEmpty()) {
            return ImmutableList.of();
        }
        statedNanos = Optional.of(now);
        return statements(pending, settledUntilNanos.keySet());
    }

    /** Returns the statements from which a host that has just been connected learns all pending starts. */
    public ImmutableList<PendingStartStatement> known(long now) {
        expire(now);
        return statements(Maps.transformValues(holds, hold -> hold.remaining(now)), ImmutableSet.of());
    }

    private void expire(long now) {
        settledUntilNanos.values().removeIf(untilNanos -> now >= untilNanos);
        Iterator<Map.Entry<PendingStart, Hold>> entries = holds.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<PendingStart, Hold> entry = entries.next();
            if (now >= entry.getValue().untilNanos()) {
                entries.remove();
                jobs.remove(entry.getKey().job());
            }
        }
    }

    private static PendingStart.Status statusOf(PendingStart start, Collection<PoolMaster> masters) {
        ImmutableSet<PendingStart.Status> statuses =
                masters.stream().map(master -> master.statusOf(start)).collect(ImmutableSet.toImmutableSet());
        if (statuses.contains(PendingStart.Status.RULED_OUT)) {
            return PendingStart.Status.RULED_OUT;
        }
        return statuses.contains(PendingStart.Status.POSSIBLE)
                ? PendingStart.Status.POSSIBLE
                : PendingStart.Status.UNKNOWN;
    }

    private static ImmutableList<PendingStartStatement> statements(
            Map<PendingStart, Duration> pending, Set<PendingStart> settled) {
        List<List<Map.Entry<PendingStart, Duration>>> pendingParts =
                Lists.partition(ImmutableList.copyOf(pending.entrySet()), MAX_STATED);
        List<List<PendingStart>> settledParts = Lists.partition(ImmutableList.copyOf(settled), MAX_STATED);
        ImmutableList.Builder<PendingStartStatement> statements = ImmutableList.builder();
        for (int i = 0; i < Math.max(pendingParts.size(), settledParts.size()); i++) {
            statements.add(new PendingStartStatement(
                    ImmutableMap.copyOf(part(pendingParts, i)), ImmutableList.copyOf(part(settledParts, i))));
        }
        return statements.build();
    }

    private static <T> List<T> part(List<List<T>> parts, int index) {
        return index < parts.size() ? parts.get(index) : ImmutableList.of();
    }
}
