package org.mustardlink.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** The queued jobs of one team at one service, by class. */
final class TeamFlow extends FairFlow {
    private final Turns<ClassFlow> turns = new Turns<>();
    private final Map<String, ClassFlow> classes = new HashMap<>();
    private final Supplier<TeamSpec> spec;
    private int size;
    private double work;

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
    double work() {
        return work;
    }

    Iterable<ClassFlow> classes() {
        return turns.inOrder();
    }

    void add(JobQueue job, String jobClass) {
        ClassFlow flow = classes.get(jobClass);
        if (flow == null) {
            flow = new ClassFlow(jobClass);
            classes.put(jobClass, flow);
            turns.join(flow);
        }
        flow.jobs().add(job);
        size += job.size();
        work += job.work();
    }

    /** Charges a class for a started task. */
    void started(String jobClass, double taskWork) {
        turns.charge(classes.get(jobClass), taskWork);
        removed(1, taskWork);
    }

    void remove(JobQueue job, String jobClass) {
        ClassFlow flow = classes.get(jobClass);
        flow.jobs().remove(job);
        if (flow.jobs().isEmpty()) {
            turns.leave(flow);
            classes.remove(jobClass);
        }
        removed(job.size(), job.work());
    }

    private void removed(int tasks, double removedWork) {
        size -= tasks;
        work = size == 0 ? 0 : work - removedWork;
    }
}
