package org.mustardlink.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Tasks waiting for a slot, by service. */
final class QueueTable {
    private final Map<String, ServiceQueue> byService = new LinkedHashMap<>();
    private final TeamTable teams;

    QueueTable(TeamTable teams) {
        this.teams = teams;
    }

    /** Adds every task of a job. */
    void add(String service, JobRow job) {
        byService.computeIfAbsent(service, _unused -> new ServiceQueue(teams)).add(job);
    }

    /** Puts a task that certainly did not start back in front. */
    void addRetry(String service, TaskRow task) {
        byService.computeIfAbsent(service, _unused -> new ServiceQueue(teams)).addRetry(task);
    }

    /** Removes every queued task of a job. */
    void remove(String service, JobRow job) {
        Optional.ofNullable(byService.get(service)).ifPresent(queue -> queue.remove(job));
    }

    /** Returns the longest queued task of a job, if there is one. */
    Optional<TaskRow> longestTask(JobRow job) {
        return find(job.request().orElseThrow().service()).flatMap(queue -> queue.longestTask(job));
    }

    /** Returns the queued tasks of a team at a service. */
    int queuedTasks(String service, String team) {
        return find(service)
                .flatMap(queue -> queue.team(team))
                .map(TeamFlow::size)
                .orElse(0);
    }

    int size() {
        return byService.values().stream().mapToInt(ServiceQueue::size).sum();
    }

    Collection<String> services() {
        return byService.keySet();
    }

    Optional<ServiceQueue> find(String service) {
        return Optional.ofNullable(byService.get(service));
    }
}
