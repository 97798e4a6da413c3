package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An amount of a target's resources.
 *
 * @param cpuMillis processor in thousandths of a core
 * @param memoryMb memory in mebibytes
 * @param gpus accelerators
 */
public record Capacity(int cpuMillis, int memoryMb, int gpus) {
    /** Nothing. */
    public static final Capacity NONE = new Capacity(0, 0, 0);

    public Capacity {
        checkArgument(cpuMillis >= 0, "cpuMillis must not be negative: %s", cpuMillis);
        checkArgument(memoryMb >= 0, "memoryMb must not be negative: %s", memoryMb);
        checkArgument(gpus >= 0, "gpus must not be negative: %s", gpus);
    }

    /** Returns whether this amount holds another one. */
    public boolean holds(Capacity other) {
        return other.cpuMillis <= cpuMillis && other.memoryMb <= memoryMb && other.gpus <= gpus;
    }

    /** Returns the sum. */
    public Capacity plus(Capacity other) {
        return new Capacity(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /** Returns what is left, zero where the other amount is larger. */
    public Capacity minus(Capacity other) {
        return new Capacity(
                Math.max(0, cpuMillis - other.cpuMillis),
                Math.max(0, memoryMb - other.memoryMb),
                Math.max(0, gpus - other.gpus));
    }
}
