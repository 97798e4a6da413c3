package org.mustardlink.soak;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Draws the faults of a soak from its seed alone. */
final class FaultSchedule {
    /** Faults come in series and overlap; on average one starts this often. */
    private static final int MEAN_GAP_MS = 450;
    /** A host that stops and starts again is away this much longer than its drawn time. */
    private static final long RESTART_MS = 1_500;
    /** At most a third of the hosts and a fifth of the targets are faulty at a time, so that service survives. */
    private static final int HOST_SHARE = 3;

    private static final int TARGET_SHARE = 5;

    private FaultSchedule() {}

    /** Returns the schedule of a soak, in order of time. */
    static ImmutableList<Fault> draw(SoakShape shape) {
        Random random = new Random(shape.seed());
        ImmutableList.Builder<Fault> faults = ImmutableList.builder();
        List<Fault> lasting = new ArrayList<>();
        long end = shape.seconds() * 1_000L;
        for (long at = random.nextInt(MEAN_GAP_MS); at < end; at += random.nextInt(2 * MEAN_GAP_MS)) {
            long now = at;
            lasting.removeIf(fault -> endMs(fault) <= now);
            FaultKind kind = drawKind(random);
            int victim = random.nextInt(victims(kind, shape));
            int length = kind.minMs() + random.nextInt(kind.maxMs() - kind.minMs() + 1);
            Fault fault = new Fault(at, Math.min(length, end - at), kind, victim);
            if (bearable(fault, lasting, shape)) {
                faults.add(fault);
                lasting.add(fault);
            }
        }
        return faults.build();
    }

    private static FaultKind drawKind(Random random) {
        int total = 0;
        for (FaultKind kind : FaultKind.values()) {
            total += kind.weight();
        }
        int drawn = random.nextInt(total);
        for (FaultKind kind : FaultKind.values()) {
            drawn -= kind.weight();
            if (drawn < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("the weights add up to " + total);
    }

    private static int victims(FaultKind kind, SoakShape shape) {
        return switch (kind.victim()) {
            case HOST -> shape.hosts();
            case TARGET -> shape.targets();
            case STORE, NOTHING -> 1;
        };
    }

    /** Returns when the victim may be well again. */
    static long endMs(Fault fault) {
        boolean restarts = fault.kind() == FaultKind.HOST_STOP || fault.kind() == FaultKind.HOST_KILL;
        return fault.atMs() + fault.lengthMs() + (restarts ? RESTART_MS : 0);
    }

    private static boolean bearable(Fault fault, List<Fault> lasting, SoakShape shape) {
        FaultKind.Victim what = fault.kind().victim();
        if (what == FaultKind.Victim.NOTHING) {
            return true;
        }
        long others = lasting.stream()
                .filter(other -> other.kind().victim() == what && other.victim() != fault.victim())
                .mapToInt(Fault::victim)
                .distinct()
                .count();
        boolean again =
                lasting.stream().anyMatch(other -> other.kind().victim() == what && other.victim() == fault.victim());
        // Several faults may fall on one host, one after the other and at once; a target or the store has one mode at a
        // time.
        return switch (what) {
            case HOST -> others < Math.max(1, shape.hosts() / HOST_SHARE);
            case TARGET -> !again && others < Math.max(1, shape.targets() / TARGET_SHARE);
            default -> !again;
        };
    }
}
