package org.mustardlink.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.mustardlink.peer.thrift.HandoverPart;

/** Collects the parts of handovers, within bounds on their number, age and bytes. Thread-safe. */
final class HandoverAssembler {
    /** Handovers in progress at once; a failure domain has few entry hosts, and they stop one after the other. */
    private static final int MAX_PARTIAL_HANDOVERS = 4;

    private static final int MAX_PARTS = 128;
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, PartialHandover> partialHandovers = new LinkedHashMap<>();
    private final LongSupplier nanoClock;

    private record PartialHandover(long startNanos, List<HandoverPart> parts) {}

    /** What became of a part. */
    record AddResult(boolean accepted, Optional<Handover> handover) {}

    HandoverAssembler(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    /**
     * Adds a part. Parts that are out of order or beyond a bound end their handover.
     *
     * @throws IllegalArgumentException if the last part completes a malformed handover
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
