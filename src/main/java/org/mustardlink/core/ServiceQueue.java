package org.mustardlink.core;

import com.google.common.collect.Iterables;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/** Tasks of one service that wait for a slot: retries first, then teams in turn, their classes in turn, by deadline. */
final class ServiceQueue {
    private final FairFlow.Turns<TeamFlow> turns = new FairFlow.Turns<>();
    private final Map<String, TeamFlow> teams = new HashMap<>();
    private final IdentityHashMap<JobRow, JobQueue> byJob = new IdentityHashMap<>();
    private final Deque<TaskRow> retries = new ArrayDeque<>();
    private final ServiceLoad load = new ServiceLoad();
    private final TeamTable quotas;
    private long nextSequence;
    private int size;
    private double work;

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
    double work() {
        return work;
    }

    Optional<TeamFlow> team(String team) {
        return Optional.ofNullable(teams.get(team));
    }

    Iterable<TeamFlow> teams() {
        return turns.inOrder();
    }

    /** Returns the sum of the weights of the teams that have tasks queued. */
    double weights() {
        double sum = 0;
        for (TeamFlow team : turns.inOrder()) {
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
            team = new TeamFlow(request.team(), () -> quotas.of(request.team()));
            teams.put(request.team(), team);
            turns.join(team);
        }
        team.add(queue, request.jobClass());
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

    /** Returns the jobs with queued tasks whose teams may start more, in the order of their turns. */
    Iterable<JobQueue> jobs() {
        Iterable<TeamFlow> allowed = Iterables.filter(turns.inOrder(), team -> quotas.mayStart(team.name()));
        return Iterables.concat(Iterables.transform(
                allowed, team -> Iterables.concat(Iterables.transform(team.classes(), ClassFlow::jobs))));
    }

    /** Returns the longest queued task of a job that was not tried before, if there is one. */
    Optional<TaskRow> longest(JobRow job) {
        return Optional.ofNullable(byJob.get(job)).map(queue -> queue.task(0));
    }

    TaskRow takeRetry() {
        TaskRow task = retries.removeFirst();
        removed(1, task.expectedWork());
        return task;
    }

    TaskRow take(JobQueue queue, int rank) {
        JobRequest request = queue.job().request().orElseThrow();
        TaskRow task = queue.take(rank);
        removed(1, task.expectedWork());
        TeamFlow team = teams.get(request.team());
        team.started(request.jobClass(), task.expectedWork());
        turns.charge(team, task.expectedWork());
        if (queue.size() == 0) {
            forget(queue, request);
        }
        return task;
    }

    /** Removes every queued task of a job. */
    void remove(JobRow job) {
        JobQueue queue = byJob.get(job);
        if (queue != null) {
            removed(queue.size(), queue.work());
            forget(queue, job.request().orElseThrow());
        }
        if (!retries.isEmpty()) {
            retries.removeIf(task -> removeRetry(task, job));
        }
    }

    private boolean removeRetry(TaskRow task, JobRow job) {
        boolean gone = task.job() == job;
        if (gone) {
            removed(1, task.expectedWork());
        }
        return gone;
    }

    private void forget(JobQueue queue, JobRequest request) {
        byJob.remove(queue.job());
        TeamFlow team = teams.get(request.team());
        team.remove(queue, request.jobClass());
        if (team.size() == 0) {
            turns.leave(team);
            teams.remove(request.team());
        }
    }

    private void removed(int tasks, double removedWork) {
        size -= tasks;
        work = size == 0 ? 0 : work - removedWork;
    }
}
