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
final class HandoverAssembly {
    /** Handovers in progress at once; a failure domain has few entry hosts, and they stop one after the other. */
    private static final int MAX_OPEN = 4;

    private static final int MAX_PARTS = 128;
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(30).toNanos();

    private final Map<String, Open> open = new LinkedHashMap<>();
    private final LongSupplier nanos;

    private record Open(long sinceNanos, List<HandoverPart> parts) {}

    /** What became of a part. */
    record Step(boolean accepted, Optional<Handover> whole) {}

    HandoverAssembly(LongSupplier nanos) {
        this.nanos = nanos;
    }

    /**
     * Adds a part. Parts that are out of order or beyond a bound end their handover.
     *
     * @throws IllegalArgumentException if the last part completes a malformed handover
     */
    synchronized Step add(HandoverPart part) {
        long now = nanos.getAsLong();
        open.values().removeIf(row -> now - row.sinceNanos() > MAX_AGE_NANOS);
        String key = part.getHost() + '~' + part.getIncarnation();
        if (part.getPart() == 0) {
            open.remove(key);
            if (open.size() >= MAX_OPEN) {
                return new Step(false, Optional.empty());
            }
            open.put(key, new Open(now, new ArrayList<>()));
        }
        Open row = open.get(key);
        if (row == null || part.getPart() != row.parts().size() || part.getPart() >= MAX_PARTS) {
            open.remove(key);
            return new Step(false, Optional.empty());
        }
        row.parts().add(part);
        if (!part.isLast()) {
            return new Step(true, Optional.empty());
        }
        open.remove(key);
        return new Step(true, Optional.of(Handover.ofParts(row.parts())));
    }
}
