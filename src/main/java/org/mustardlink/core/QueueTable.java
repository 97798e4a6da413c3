package org.mustardlink.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Tasks that wait for a slot, by service. */
final class QueueTable {
    private final Map<String, ServiceQueue> byService = new LinkedHashMap<>();
    private final TeamTable teams;

    QueueTable(TeamTable teams) {
        this.teams = teams;
    }

    /** Adds all tasks of a job. */
    void add(String service, JobRow job) {
        byService.computeIfAbsent(service, _unused -> new ServiceQueue(teams)).add(job);
    }

    /** Adds a task whose attempt certainly did not start to the front of its queue. */
    void addRetry(String service, TaskRow task) {
        byService.computeIfAbsent(service, _unused -> new ServiceQueue(teams)).addRetry(task);
    }

    /** Removes all queued tasks of a job. */
    void remove(String service, JobRow job) {
        Optional.ofNullable(byService.get(service)).ifPresent(queue -> queue.remove(job));
    }

    /** Returns the queued task of a job with the most expected work, if any task is queued. */
    Optional<TaskRow> longestTask(JobRow job) {
        return find(job.request().orElseThrow().service()).flatMap(queue -> queue.longestTask(job));
    }

    /** Returns the number of queued tasks of a team at a service. */
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
