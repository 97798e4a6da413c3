package org.mustardlink.pool;

/**
 * The load of a pool, which its master sends to other hosts.
 *
 * @param freeCpuMillis free processors of the targets that accept tasks, less the needs of queued tasks, in thousandths
 *     of a core
 * @param maxTargetFreeCpuMillis most free processors on a single target, in thousandths of a core
 * @param openJobs number of open jobs
 */
public record PoolLoad(int freeCpuMillis, int maxTargetFreeCpuMillis, int openJobs) {
    /** The load of a pool without free capacity and open jobs. */
    public static final PoolLoad NONE = new PoolLoad(0, 0, 0);

    /**
     * Returns whether the free processors suffice for the whole first step of a job, provided that its tasks can
     * be packed.
     */
    public boolean coversFirstStep(JobOrder order) {
        StepSpec first = order.steps().get(0);
        return freeCpuMillis >= (long) first.taskCount() * first.need().cpuMillis();
    }
}
