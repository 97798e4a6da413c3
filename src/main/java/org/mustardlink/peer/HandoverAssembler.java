package org.mustardlink.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.mustardlink.peer.thrift.HandoverPart;

/** Assembles handovers from their parts, with limits on their number, size and age. Thread-safe. */
final class HandoverAssembler {
    /** A few suffice: a failure domain has few entry hosts, and they are stopped one at a time. */
    private static final int MAX_PARTIAL_HANDOVERS = 4;

    private static final int MAX_PARTS = 128;
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, PartialHandover> partialHandovers = new LinkedHashMap<>();
    private final LongSupplier nanoClock;

    private record PartialHandover(long startNanos, List<HandoverPart> parts) {}

    /**
     * The result of adding a part.
     *
     * @param accepted whether the part was accepted
     * @param handover the complete handover, present if the part was the last one
     */
    record AddResult(boolean accepted, Optional<Handover> handover) {}

    HandoverAssembler(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /**
     * Adds a part. A part that is out of order or exceeds a limit is rejected, and its handover is discarded.
     *
     * @throws IllegalArgumentException if the part completes a malformed handover
     */
    synchronized AddResult add(HandoverPart part) {
        long now = nanoClock.getAsLong();
        partialHandovers.values().removeIf(partial -> now - partial.startNanos() > MAX_AGE_NANOS);
        String key = part.getHost() + '~' + part.getIncarnation();
        if (part.getPart() == 0) {
            partialHandovers.remove(key);
            if (partialHandovers.size() >= MAX_PARTIAL_HANDOVERS) {
                return new AddResult(false, Optional.empty());
            }
            partialHandovers.put(key, new PartialHandover(now, new ArrayList<>()));
        }
        PartialHandover partial = partialHandovers.get(key);
        if (partial == null || part.getPart() != partial.parts().size() || part.getPart() >= MAX_PARTS) {
            partialHandovers.remove(key);
            return new AddResult(false, Optional.empty());
        }
        partial.parts().add(part);
        if (!part.isLast()) {
            return new AddResult(true, Optional.empty());
        }
        partialHandovers.remove(key);
        return new AddResult(true, Optional.of(Handover.fromParts(partial.parts())));
    }
}
