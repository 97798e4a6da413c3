package org.mustardlink.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Queued jobs of one team at one service, by class. */
final class TeamFlow extends WeightedFlow {
    private final FlowSchedule<ClassFlow> activeClasses = new FlowSchedule<>();
    private final Map<String, ClassFlow> classes = new HashMap<>();
    private final Supplier<TeamSpec> spec;
    private int size;
    private double workMs;

    TeamFlow(String team, Supplier<TeamSpec> spec) {
        super(team);
        this.spec = spec;
    }

    @Override
    double weight() {
        return spec.get().weight();
    }

    int size() {
        return size;
    }

    /** Returns the expected work of the queued tasks, in milliseconds at speed 1. */
    double workMs() {
        return workMs;
    }

    Iterable<ClassFlow> classes() {
        return activeClasses.inOrder();
    }

    void add(JobQueue job, String jobClass) {
        ClassFlow flow = classes.get(jobClass);
        if (flow == null) {
            flow = new ClassFlow(jobClass);
            classes.put(jobClass, flow);
            activeClasses.activate(flow);
        }
        flow.queues().add(job);
        size += job.size();
        workMs += job.workMs();
    }

    /** Charges the class for a started task and subtracts the task from the queued ones. */
    void recordStart(String jobClass, double taskWorkMs) {
        activeClasses.charge(classes.get(jobClass), taskWorkMs);
        subtractQueued(1, taskWorkMs);
    }

    void remove(JobQueue job, String jobClass) {
        ClassFlow flow = classes.get(jobClass);
        flow.queues().remove(job);
        if (flow.queues().isEmpty()) {
            activeClasses.deactivate(flow);
            classes.remove(jobClass);
        }
        subtractQueued(job.size(), job.workMs());
    }

    private void subtractQueued(int tasks, double removedWorkMs) {
        size -= tasks;
        workMs = size == 0 ? 0 : workMs - removedWorkMs;
    }
}
