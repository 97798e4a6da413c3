package org.mustardlink.core;

import com.google.common.collect.Iterables;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Queued tasks of one service: retries first, then fair queueing over teams and their classes, then by deadline. */
final class ServiceQueue {
    private final WeightedFlow.FlowSchedule<TeamFlow> activeTeams = new WeightedFlow.FlowSchedule<>();
    private final Map<String, TeamFlow> teams = new HashMap<>();
    private final IdentityHashMap<JobRow, JobQueue> byJob = new IdentityHashMap<>();
    private final Deque<TaskRow> retries = new ArrayDeque<>();
    private final ServiceLoad load = new ServiceLoad();
    private final TeamTable quotas;
    private long nextSequence;
    private int size;
    private double workMs;

    ServiceQueue(TeamTable quotas) {
        this.quotas = quotas;
    }

    ServiceLoad load() {
        return load;
    }

    int size() {
        return size;
    }

    /** Returns the expected work of all queued tasks, in milliseconds at speed 1. */
    double workMs() {
        return workMs;
    }

    Optional<TeamFlow> team(String team) {
        return Optional.ofNullable(teams.get(team));
    }

    Iterable<TeamFlow> teams() {
        return activeTeams.inOrder();
    }

    /** Returns the sum of the weights of the teams that have tasks queued. */
    double totalWeight() {
        double sum = 0;
        for (TeamFlow team : activeTeams.inOrder()) {
            sum += team.weight();
        }
        return sum;
    }

    void add(JobRow job) {
        JobRequest request = job.request().orElseThrow();
        JobQueue queue = new JobQueue(job, nextSequence++);
        byJob.put(job, queue);
        TeamFlow team = teams.get(request.team());
        if (team == null) {
            team = new TeamFlow(request.team(), () -> quotas.quotaOf(request.team()));
            teams.put(request.team(), team);
            activeTeams.activate(team);
        }
        team.add(queue, request.jobClass());
        size += queue.size();
        workMs += queue.workMs();
    }

    /** Adds a task whose attempt certainly did not start to the front of the queue. */
    void addRetry(TaskRow task) {
        retries.addFirst(task);
        size++;
        workMs += task.expectedWorkMs();
    }

    Deque<TaskRow> retries() {
        return retries;
    }

    /** Returns the jobs with queued tasks in scheduling order, without teams that are at their running quota. */
    Iterable<JobQueue> startableJobs() {
        Iterable<TeamFlow> allowed = Iterables.filter(activeTeams.inOrder(), team -> quotas.mayStartTask(team.name()));
        return Iterables.concat(Iterables.transform(
                allowed, team -> Iterables.concat(Iterables.transform(team.classes(), ClassFlow::queues))));
    }

    /** Returns the queued task of a job with the most expected work, if any task is queued. */
    Optional<TaskRow> longestTask(JobRow job) {
        Optional<TaskRow> first = Optional.ofNullable(byJob.get(job)).map(queue -> queue.task(0));
        if (retries.isEmpty()) {
            return first;
        }
        return Stream.concat(first.stream(), retries.stream().filter(task -> task.job() == job))
                .max(Comparator.comparingDouble(TaskRow::expectedWorkMs));
    }

    TaskRow takeRetry() {
        TaskRow task = retries.removeFirst();
        subtractQueued(1, task.expectedWorkMs());
        return task;
    }

    TaskRow take(JobQueue queue, int rank) {
        JobRequest request = queue.job().request().orElseThrow();
        TaskRow task = queue.take(rank);
        subtractQueued(1, task.expectedWorkMs());
        TeamFlow team = teams.get(request.team());
        team.recordStart(request.jobClass(), task.expectedWorkMs());
        activeTeams.charge(team, task.expectedWorkMs());
        if (queue.size() == 0) {
            dropQueue(queue, request);
        }
        return task;
    }

    /** Removes all queued tasks of a job. */
    void remove(JobRow job) {
        JobQueue queue = byJob.get(job);
        if (queue != null) {
            subtractQueued(queue.size(), queue.workMs());
            dropQueue(queue, job.request().orElseThrow());
        }
        if (!retries.isEmpty()) {
            retries.removeIf(task -> removeIfOfJob(task, job));
        }
    }

    private boolean removeIfOfJob(TaskRow task, JobRow job) {
        boolean ofJob = task.job() == job;
        if (ofJob) {
            subtractQueued(1, task.expectedWorkMs());
        }
        return ofJob;
    }

    private void dropQueue(JobQueue queue, JobRequest request) {
        byJob.remove(queue.job());
        TeamFlow team = teams.get(request.team());
        team.remove(queue, request.jobClass());
        if (team.size() == 0) {
            activeTeams.deactivate(team);
            teams.remove(request.team());
        }
    }

    private void subtractQueued(int tasks, double removedWorkMs) {
        size -= tasks;
        workMs = size == 0 ? 0 : workMs - removedWorkMs;
    }
}
