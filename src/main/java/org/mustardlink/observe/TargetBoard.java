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

/** What this entry host has seen of each declared target. Thread-safe. */
final class TargetBoard {
    private final Map<TaskId, Seen> inFlight = new ConcurrentHashMap<>();
    private final Map<String, Seen> targets = new ConcurrentHashMap<>();
    private volatile ImmutableList<TargetSpec> declared = ImmutableList.of();
    private volatile ImmutableSet<String> draining = ImmutableSet.of();

    private static final class Seen {
        private final AtomicInteger running = new AtomicInteger();
        private final AtomicLong starts = new AtomicLong();
        private final AtomicLong refused = new AtomicLong();
        private final AtomicLong failed = new AtomicLong();
    }

    /**
     * One target as this entry host sees it.
     *
     * @param id id of the target
     * @param service the service
     * @param domain its failure domain
     * @param address its address
     * @param state {@code active} or {@code draining}
     * @param slots its declared slots
     * @param running tasks of this entry host that run on it
     * @param starts tasks that this entry host sent to it
     * @param refused starts that certainly did not happen
     * @param failed attempts that may have run and gave no usable answer
     */
    record Row(
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
        Row {
            checkNotNull(id, "id");
        }
    }

    void declare(List<TargetSpec> specs) {
        declared = ImmutableList.copyOf(specs);
        Set<String> ids = declared.stream().map(TargetSpec::id).collect(ImmutableSet.toImmutableSet());
        targets.keySet().retainAll(ids);
    }

    void drain(Set<String> ids) {
        draining = ImmutableSet.copyOf(ids);
    }

    void started(Command.StartTask start) {
        Seen seen = seen(start.target().id());
        seen.starts.incrementAndGet();
        seen.running.incrementAndGet();
        inFlight.put(start.task(), seen);
    }

    void ended(Event.AttemptEnded ended) {
        Seen seen = inFlight.remove(ended.task());
        if (seen == null) {
            return;
        }
        seen.running.decrementAndGet();
        if (ended.result() instanceof AttemptResult.NotStarted) {
            seen.refused.incrementAndGet();
        } else if (ended.result() instanceof AttemptResult.Lost) {
            seen.failed.incrementAndGet();
        }
    }

    ImmutableList<Row> rows() {
        return declared.stream().map(this::row).collect(ImmutableList.toImmutableList());
    }

    private Row row(TargetSpec spec) {
        Seen seen = seen(spec.id());
        return new Row(
                spec.id(),
                spec.service(),
                spec.domain(),
                spec.address(),
                draining.contains(spec.id()) ? "draining" : "active",
                spec.slots(),
                seen.running.get(),
                seen.starts.get(),
                seen.refused.get(),
                seen.failed.get());
    }

    private Seen seen(String id) {
        return targets.computeIfAbsent(id, _unused -> new Seen());
    }
}
