package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An amount of the resources of a target.
 *
 * @param cpuMillis processors, in thousandths of a core
 * @param memoryMb memory, in mebibytes
 * @param gpus number of accelerators
 */
public record Capacity(int cpuMillis, int memoryMb, int gpus) {
    /** No resources. */
    public static final Capacity NONE = new Capacity(0, 0, 0);

    /** Upper bound on {@link #maxTasks}; any number of tasks without needs would fit. */
    public static final int MAX_TASKS = 1_000;

    public Capacity {
        checkArgument(cpuMillis >= 0, "cpuMillis must not be negative: %s", cpuMillis);
        checkArgument(memoryMb >= 0, "memoryMb must not be negative: %s", memoryMb);
        checkArgument(gpus >= 0, "gpus must not be negative: %s", gpus);
    }

    /** Returns whether another amount fits into this one. */
    public boolean covers(Capacity other) {
        return other.cpuMillis <= cpuMillis && other.memoryMb <= memoryMb && other.gpus <= gpus;
    }

    /** Returns how many tasks that each need the other amount fit into this one, up to {@link #MAX_TASKS}. */
    public int maxTasks(Capacity other) {
        return Math.min(
                maxTasks(cpuMillis, other.cpuMillis),
                Math.min(maxTasks(memoryMb, other.memoryMb), maxTasks(gpus, other.gpus)));
    }

    private static int maxTasks(int amount, int need) {
        return need == 0 ? MAX_TASKS : Math.min(MAX_TASKS, amount / need);
    }

    /** Returns the sum. */
    public Capacity plus(Capacity other) {
        return new Capacity(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, gpus + other.gpus);
    }

    /** Returns the difference, with zero for a resource of which the other amount is larger. */
    public Capacity minus(Capacity other) {
        return new Capacity(
                Math.max(0, cpuMillis - other.cpuMillis),
                Math.max(0, memoryMb - other.memoryMb),
                Math.max(0, gpus - other.gpus));
    }

    /** Returns the smaller amount of each resource. */
    public Capacity min(Capacity other) {
        return new Capacity(
                Math.min(cpuMillis, other.cpuMillis), Math.min(memoryMb, other.memoryMb), Math.min(gpus, other.gpus));
    }

    // Written by hand, because every entry of the target list is compared, and the generated methods of records are
    // several times slower without the C2 compiler.
    @Override
    public boolean equals(Object object) {
        return this == object
                || (object instanceof Capacity other
                        && cpuMillis == other.cpuMillis
                        && memoryMb == other.memoryMb
                        && gpus == other.gpus);
    }

    @Override
    public int hashCode() {
        return (31 * cpuMillis + memoryMb) * 31 + gpus;
    }
}
