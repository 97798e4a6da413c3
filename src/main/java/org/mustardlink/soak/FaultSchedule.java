package org.mustardlink.soak;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates the faults of a soak. The same shape, seed included, always gives the same schedule. */
final class FaultSchedule {
    /** Mean time between the starts of two faults, short enough that faults overlap. */
    private static final int MEAN_INTERVAL_MS = 450;
    /** Time that a restarted host needs, in addition to the fault's duration, until it serves again. */
    private static final long RESTART_ALLOWANCE_MS = 1_500;
    /**
     * At most a third of the hosts and a fifth of the targets are faulty at a time, so that jobs can still be served.
     */
    private static final int HOSTS_PER_FAULTY_HOST = 3;

    private static final int TARGETS_PER_FAULTY_TARGET = 5;

    private FaultSchedule() {}

    /** Returns the faults of a soak in the order of their start times. */
    static ImmutableList<Fault> generate(SoakShape shape) {
        Random random = new Random(shape.seed());
        ImmutableList.Builder<Fault> faults = ImmutableList.builder();
        List<Fault> activeFaults = new ArrayList<>();
        long endMs = shape.seconds() * 1_000L;
        for (long startMs = random.nextInt(MEAN_INTERVAL_MS);
                startMs < endMs;
                startMs += random.nextInt(2 * MEAN_INTERVAL_MS)) {
            long nowMs = startMs;
            activeFaults.removeIf(fault -> recoveryMs(fault) <= nowMs);
            FaultKind kind = drawKind(random);
            int victimIndex = random.nextInt(victimCount(kind, shape));
            int durationMs = kind.minDurationMs() + random.nextInt(kind.maxDurationMs() - kind.minDurationMs() + 1);
            Fault fault = new Fault(startMs, Math.min(durationMs, endMs - startMs), kind, victimIndex);
            if (isWithinLimits(fault, activeFaults, shape)) {
                faults.add(fault);
                activeFaults.add(fault);
            }
        }
        return faults.build();
    }

    private static FaultKind drawKind(Random random) {
        int totalWeight = 0;
        for (FaultKind kind : FaultKind.values()) {
            totalWeight += kind.weight();
        }
        int remainingWeight = random.nextInt(totalWeight);
        for (FaultKind kind : FaultKind.values()) {
            remainingWeight -= kind.weight();
            if (remainingWeight < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("no fault kind drawn although the weights add up to " + totalWeight);
    }

    private static int victimCount(FaultKind kind, SoakShape shape) {
        return switch (kind.victimKind()) {
            case HOST -> shape.hosts();
            case TARGET -> shape.targets();
            case STORE, NOTHING -> 1;
        };
    }

    /** Returns the time from which the victim no longer counts as faulty. */
    static long recoveryMs(Fault fault) {
        boolean restarts = fault.kind() == FaultKind.HOST_STOP || fault.kind() == FaultKind.HOST_KILL;
        return fault.startMs() + fault.durationMs() + (restarts ? RESTART_ALLOWANCE_MS : 0);
    }

    private static boolean isWithinLimits(Fault fault, List<Fault> activeFaults, SoakShape shape) {
        FaultKind.VictimKind victimKind = fault.kind().victimKind();
        if (victimKind == FaultKind.VictimKind.NOTHING) {
            return true;
        }
        long otherVictims = activeFaults.stream()
                .filter(other -> other.kind().victimKind() == victimKind && other.victimIndex() != fault.victimIndex())
                .mapToInt(Fault::victimIndex)
                .distinct()
                .count();
        boolean victimIsFaulty = activeFaults.stream()
                .anyMatch(
                        other -> other.kind().victimKind() == victimKind && other.victimIndex() == fault.victimIndex());
        // A host may have several faults at once. A target or the store has one mode at a time, so that a second fault
        // would replace the first.
        return switch (victimKind) {
            case HOST -> otherVictims < Math.max(1, shape.hosts() / HOSTS_PER_FAULTY_HOST);
            case TARGET -> !victimIsFaulty && otherVictims < Math.max(1, shape.targets() / TARGETS_PER_FAULTY_TARGET);
            default -> !victimIsFaulty;
        };
    }
}
