package org.mustardlink.core;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Tasks waiting for a slot, by service. */
final class QueueTable {
    private final Map<String, ServiceQueue> byService = new LinkedHashMap<>();

    /** Adds every task of a job. */
    void add(String service, JobRow job) {
        byService.computeIfAbsent(service, _unused -> new ServiceQueue()).add(job);
    }

    /** Puts a task that certainly did not start back in front. */
    void addRetry(String service, TaskRow task) {
        byService.computeIfAbsent(service, _unused -> new ServiceQueue()).addRetry(task);
    }

    /** Removes every queued task of a job. */
    void remove(String service, JobRow job) {
        Optional.ofNullable(byService.get(service)).ifPresent(queue -> queue.remove(job));
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
