package org.mustardlink.load;

import java.util.stream.IntStream;
import org.mustardlink.core.JobRequest;

/** Mix of job sizes. */
public enum JobSizeMix {
    /** Only jobs of one task. */
    SINGLE(1, 0),
    /** Only jobs of 20 tasks. */
    TWENTY(0, 1),
    /** 70% single tasks, 20% jobs of 20, and 10% of log-uniform size from 1 to the maximum. */
    MIX(0.7, 0.2);

    private final double singleTaskShare;
    private final double twentyTaskShare;

    JobSizeMix(double singleTaskShare, double twentyTaskShare) {
        this.singleTaskShare = singleTaskShare;
        this.twentyTaskShare = twentyTaskShare;
    }

    /** Returns the mean number of tasks of a job. */
    double meanTaskCount() {
        double logUniform = IntStream.rangeClosed(1, JobRequest.MAX_TASKS)
                        .mapToDouble(size -> size * Math.log((size + 1.0) / size))
                        .sum()
                / Math.log(JobRequest.MAX_TASKS + 1);
        return singleTaskShare + 20 * twentyTaskShare + (1 - singleTaskShare - twentyTaskShare) * logUniform;
    }

    /**
     * Returns the class of the job that a draw selects.
     *
     * @param draw uniform in [0, 1)
     */
    JobClass classFor(double draw) {
        if (draw < singleTaskShare) {
            return JobClass.SINGLE;
        }
        return draw < singleTaskShare + twentyTaskShare ? JobClass.TWENTY : JobClass.MIXED;
    }
}
