package org.mustardlink.core;

import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;

/** Queued jobs of one class of a team, earliest deadline first. All classes of a team have the same weight. */
final class ClassFlow extends WeightedFlow {
    private final TreeSet<JobQueue> queues = new TreeSet<>(
            Comparator.comparingLong((JobQueue queue) -> queue.job().deadlineNanos())
                    .thenComparingLong(JobQueue::sequence));

    ClassFlow(String jobClass) {
        super(jobClass);
    }

    @Override
    double weight() {
        return 1;
    }

    Set<JobQueue> queues() {
        return queues;
    }
}
