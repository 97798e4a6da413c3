package org.mustardlink.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Queued tasks of one job, in descending order of expected work. */
final class JobQueue {
    private final JobRow job;
    private final long sequence;
    /** In ascending order of work, so that the longest task is removed from the end in constant time. */
    private final List<TaskRow> tasks;

    private double workMs;

    JobQueue(JobRow job, long sequence) {
        this.job = job;
        this.sequence = sequence;
        this.tasks = new ArrayList<>(job.tasks());
        tasks.sort(Comparator.comparingDouble(TaskRow::expectedWorkMs));
        tasks.forEach(task -> workMs += task.expectedWorkMs());
    }

    JobRow job() {
        return job;
    }

    /** Returns the position of the job in the order of arrival. */
    long sequence() {
        return sequence;
    }

    int size() {
        return tasks.size();
    }

    /** Returns the expected work of all queued tasks, in milliseconds at speed 1. */
    double workMs() {
        return workMs;
    }

    /** Returns the task with the given rank, where 0 is the longest. */
    TaskRow task(int rank) {
        return tasks.get(tasks.size() - 1 - rank);
    }

    /** Returns the expected work of the tasks before the given rank. */
    double workBeforeMs(int rank) {
        double before = 0;
        for (int i = 0; i < rank; i++) {
            before += task(i).expectedWorkMs();
        }
        return before;
    }

    TaskRow take(int rank) {
        TaskRow taken = tasks.remove(tasks.size() - 1 - rank);
        workMs = tasks.isEmpty() ? 0 : workMs - taken.expectedWorkMs();
        return taken;
    }
}
