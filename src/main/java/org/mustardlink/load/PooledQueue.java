package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

/**
 * Calculates reference response times for a single queue in order of arrival over all slots of a domain, with known run
 * times and without dispatch messages.
 *
 * <p>Each task goes to the slot that finishes it first, the longest task of a job first. The result is a baseline for
 * the cost of splitting a domain among several entry hosts. It does not model the system.
 */
final class PooledQueue {
    private final double[] freeAtMs;
    private final double[] speeds;

    private PooledQueue(DomainCapacity capacity) {
        speeds = capacity.speeds().stream()
                .flatMap(speed -> IntStream.range(0, capacity.slots()).mapToObj(_unused -> speed))
                .mapToDouble(Double::doubleValue)
                .toArray();
        freeAtMs = new double[speeds.length];
    }

    /** Returns the response time of each job in milliseconds, by job number; 0 for cancelled jobs. */
    static double[] responsesMs(LoadSettings settings, ImmutableList<JobPlan> jobs) {
        double[] responses = new double[jobs.size()];
        List<PooledQueue> domains = IntStream.range(0, settings.domains())
                .mapToObj(_unused -> new PooledQueue(settings.capacity()))
                .toList();
        for (JobPlan job : jobs) {
            if (job.cancelNanos().isEmpty()) {
                responses[job.number()] =
                        settings.networkMs() + domains.get(job.domain()).responseMs(job);
            }
        }
        return responses;
    }

    private double responseMs(JobPlan job) {
        double arrivalMs = job.arrivalNanos() / 1e6;
        PriorityQueue<Long> longestFirst = new PriorityQueue<>(Comparator.reverseOrder());
        job.tasks().forEach(task -> longestFirst.add(task.runMs()));
        double lastEndMs = arrivalMs;
        while (!longestFirst.isEmpty()) {
            lastEndMs = Math.max(lastEndMs, placeTask(longestFirst.remove(), arrivalMs));
        }
        return lastEndMs - arrivalMs;
    }

    private double placeTask(long runMs, double arrivalMs) {
        int bestSlot = 0;
        double bestEndMs = Double.POSITIVE_INFINITY;
        for (int slot = 0; slot < speeds.length; slot++) {
            double endMs = Math.max(arrivalMs, freeAtMs[slot]) + runMs / speeds[slot];
            if (endMs < bestEndMs) {
                bestSlot = slot;
                bestEndMs = endMs;
            }
        }
        freeAtMs[bestSlot] = bestEndMs;
        return bestEndMs;
    }
}
