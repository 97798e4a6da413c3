package org.mustardlink.pool;

/**
 * The load of a pool as its master tells other hosts.
 *
 * @param freeCpuMillis free processors of targets that take tasks, less what queued tasks need, in thousandths of a core
 * @param maxTargetFreeCpuMillis most free processors on one target, in thousandths of a core
 * @param openJobs open jobs
 */
public record PoolLoad(int freeCpuMillis, int maxTargetFreeCpuMillis, int openJobs) {
    /** Nothing is free. */
    public static final PoolLoad NONE = new PoolLoad(0, 0, 0);

    /** Returns whether the free processors hold the whole first step of a job, if its tasks can be packed. */
    public boolean coversFirstStep(JobOrder order) {
        StepSpec first = order.steps().get(0);
        return freeCpuMillis >= (long) first.taskCount() * first.need().cpuMillis();
    }
}
