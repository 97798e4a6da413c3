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

    /** Tasks counted on one target at most; a task that needs nothing would fit without end. */
    public static final int MAX_ROOMS = 1_000;

    public Capacity {
        checkArgument(cpuMillis >= 0, "cpuMillis must not be negative: %s", cpuMillis);
        checkArgument(memoryMb >= 0, "memoryMb must not be negative: %s", memoryMb);
        checkArgument(gpus >= 0, "gpus must not be negative: %s", gpus);
    }

    /** Returns whether this amount holds another one. */
    public boolean holds(Capacity other) {
        return other.cpuMillis <= cpuMillis && other.memoryMb <= memoryMb && other.gpus <= gpus;
    }

    /** Returns how many times this amount holds another one, {@link #MAX_ROOMS} at most. */
    public int rooms(Capacity other) {
        int rooms = 0;
        for (Capacity left = this; rooms < MAX_ROOMS && left.holds(other); left = left.minus(other)) {
            rooms++;
        }
        return rooms;
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
