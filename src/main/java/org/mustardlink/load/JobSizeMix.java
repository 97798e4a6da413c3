package org.mustardlink.load;

import java.util.stream.IntStream;
import org.mustardlink.core.JobRequest;

/** Mixes of job sizes, where the size of a job is its number of tasks. */
public enum JobSizeMix {
    /** Only jobs of one task. */
    SINGLE(1, 0),
    /** Only jobs of 20 tasks. */
    TWENTY(0, 1),
    /** 70% jobs of one task, 20% of 20 tasks, and 10% of a log-uniform number of tasks from 1 to the maximum. */
    MIX(0.7, 0.2);

    private final double singleTaskShare;
    private final double twentyTaskShare;

    JobSizeMix(double singleTaskShare, double twentyTaskShare) {
        this.singleTaskShare = singleTaskShare;
        this.twentyTaskShare = twentyTaskShare;
    }

    /** Returns the expected number of tasks of a job. */
    double meanTaskCount() {
        double logUniform = IntStream.rangeClosed(1, JobRequest.MAX_TASKS)
                        .mapToDouble(size -> size * Math.log((size + 1.0) / size))
                        .sum()
                / Math.log(JobRequest.MAX_TASKS + 1);
        return singleTaskShare + 20 * twentyTaskShare + (1 - singleTaskShare - twentyTaskShare) * logUniform;
    }

    /**
     * Returns the job class that a random number selects.
     *
     * @param draw random number, uniform in [0, 1)
     */
    JobClass classFor(double draw) {
        if (draw < singleTaskShare) {
            return JobClass.SINGLE;
        }
        return draw < singleTaskShare + twentyTaskShare ? JobClass.TWENTY : JobClass.MIXED;
    }
}
