package org.mustardlink.core;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.TreeSet;

/** Tasks of one service that wait for a slot: retries first, then jobs in order of arrival. */
final class ServiceQueue {
    private final TreeSet<JobQueue> jobs = new TreeSet<>(Comparator.comparingLong(JobQueue::sequence));
    private final IdentityHashMap<JobRow, JobQueue> byJob = new IdentityHashMap<>();
    private final Deque<TaskRow> retries = new ArrayDeque<>();
    private final ServiceLoad load = new ServiceLoad();
    private long nextSequence;
    private int size;
    private double work;

    ServiceLoad load() {
        return load;
    }

    int size() {
        return size;
    }

    /** Returns the expected work of all queued tasks, in milliseconds at speed 1. */
    double work() {
        return work;
    }

    void add(JobRow job) {
        JobQueue queue = new JobQueue(job, nextSequence++);
        byJob.put(job, queue);
        jobs.add(queue);
        size += queue.size();
        work += queue.work();
    }

    /** Puts a task that certainly did not start in front of all others. */
    void addRetry(TaskRow task) {
        retries.addFirst(task);
        size++;
        work += task.expectedWork();
    }

    Deque<TaskRow> retries() {
        return retries;
    }

    /** Returns the jobs with queued tasks, in the order of their turns. */
    Iterable<JobQueue> jobs() {
        return jobs;
    }

    TaskRow takeRetry() {
        TaskRow task = retries.removeFirst();
        removed(1, task.expectedWork());
        return task;
    }

    TaskRow take(JobQueue queue, int rank) {
        TaskRow task = queue.take(rank);
        removed(1, task.expectedWork());
        if (queue.size() == 0) {
            forget(queue);
        }
        return task;
    }

    /** Removes every queued task of a job. */
    void remove(JobRow job) {
        JobQueue queue = byJob.get(job);
        if (queue != null) {
            removed(queue.size(), queue.work());
            forget(queue);
        }
        if (!retries.isEmpty()) {
            retries.removeIf(task -> {
                boolean gone = task.job() == job;
                if (gone) {
                    removed(1, task.expectedWork());
                }
                return gone;
            });
        }
    }

    private void forget(JobQueue queue) {
        jobs.remove(queue);
        byJob.remove(queue.job());
    }

    private void removed(int tasks, double removedWork) {
        size -= tasks;
        work = size == 0 ? 0 : work - removedWork;
    }
}
