package org.mustardlink.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Tasks waiting for a slot, by service, in order of their job's arrival with the longest task of a job first. */
final class QueueTable {
    private final Map<String, List<TaskRow>> byService = new LinkedHashMap<>();
    private int size;

    void addAll(String service, Collection<TaskRow> tasks) {
        List<TaskRow> longestFirst = new ArrayList<>(tasks);
        longestFirst.sort(Comparator.comparingLong((TaskRow task) -> task.spec().declaredMs())
                .reversed());
        byService.computeIfAbsent(service, _unused -> new ArrayList<>()).addAll(longestFirst);
        size += tasks.size();
    }

    /** Puts a task that certainly did not start back in front. */
    void addFirst(String service, TaskRow task) {
        byService.computeIfAbsent(service, _unused -> new ArrayList<>()).add(0, task);
        size++;
    }

    int size() {
        return size;
    }

    Collection<String> services() {
        return byService.keySet();
    }

    /** Removes the tasks that are no longer queued and those that the visitor takes, in order. */
    void visit(String service, TaskVisitor visitor) {
        List<TaskRow> tasks = byService.get(service);
        int before = tasks.size();
        tasks.removeIf(task -> task.state() != TaskState.QUEUED || visitor.takes(task));
        size -= before - tasks.size();
    }

    /** Decides about one queued task. */
    @FunctionalInterface
    interface TaskVisitor {
        /** Returns whether the task left the queue. */
        boolean takes(TaskRow task);
    }
}
