package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.mustardlink.core.AttemptResult;
import org.mustardlink.core.Command;
import org.mustardlink.core.Event;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.core.TaskId;

/** Counts the task starts of this entry host on each declared target, and their outcomes. Thread-safe. */
final class TargetStatistics {
    private final Map<TaskId, TargetCounters> inFlight = new ConcurrentHashMap<>();
    private final Map<String, TargetCounters> countersByTarget = new ConcurrentHashMap<>();
    private volatile ImmutableList<TargetSpec> declared = ImmutableList.of();
    private volatile ImmutableSet<String> drainingIds = ImmutableSet.of();

    private static final class TargetCounters {
        private final AtomicInteger running = new AtomicInteger();
        private final AtomicLong starts = new AtomicLong();
        private final AtomicLong refused = new AtomicLong();
        private final AtomicLong failed = new AtomicLong();
    }

    /**
     * State and counts of one target, as known to this entry host.
     *
     * @param id id of the target
     * @param service service of the target
     * @param domain failure domain of the target
     * @param address address of the target
     * @param state {@code active} or {@code draining}
     * @param slots declared slots of the target
     * @param running tasks of this entry host that run on the target
     * @param starts starts that this entry host sent to the target
     * @param refused starts that certainly ran no task
     * @param failed attempts that may have run the task, but gave no usable answer
     */
    record TargetSummary(
            String id,
            String service,
            String domain,
            String address,
            String state,
            int slots,
            int running,
            long starts,
            long refused,
            long failed) {
        TargetSummary {
            checkNotNull(id, "id");
        }
    }

    /** Replaces the declared targets, and returns whether they differ from the previous ones. */
    boolean updateDeclared(List<TargetSpec> specs) {
        if (specs.equals(declared)) {
            return false;
        }
        declared = ImmutableList.copyOf(specs);
        Set<String> ids = declared.stream().map(TargetSpec::id).collect(ImmutableSet.toImmutableSet());
        countersByTarget.keySet().retainAll(ids);
        return true;
    }

    void updateDraining(Set<String> ids) {
        drainingIds = ImmutableSet.copyOf(ids);
    }

    void recordStart(Command.StartTask start) {
        TargetCounters counters = countersOf(start.target().id());
        counters.starts.incrementAndGet();
        counters.running.incrementAndGet();
        inFlight.put(start.task(), counters);
    }

    void recordAttemptEnd(Event.AttemptEnded ended) {
        TargetCounters counters = inFlight.remove(ended.task());
        if (counters == null) {
            return;
        }
        counters.running.decrementAndGet();
        if (ended.result() instanceof AttemptResult.NotStarted) {
            counters.refused.incrementAndGet();
        } else if (ended.result() instanceof AttemptResult.Lost) {
            counters.failed.incrementAndGet();
        }
    }

    ImmutableList<TargetSummary> summaries() {
        return declared.stream().map(this::toSummary).collect(ImmutableList.toImmutableList());
    }

    private TargetSummary toSummary(TargetSpec spec) {
        TargetCounters counters = countersOf(spec.id());
        return new TargetSummary(
                spec.id(),
                spec.service(),
                spec.domain(),
                spec.address(),
                drainingIds.contains(spec.id()) ? "draining" : "active",
                spec.slots(),
                counters.running.get(),
                counters.starts.get(),
                counters.refused.get(),
                counters.failed.get());
    }

    private TargetCounters countersOf(String id) {
        return countersByTarget.computeIfAbsent(id, _unused -> new TargetCounters());
    }
}
