package org.mustardlink.core;

import java.util.Comparator;
import java.util.TreeSet;

/** Flow of weighted fair queueing. Its virtual time is the work started for it, divided by its weight. */
abstract class WeightedFlow {
    private final String name;
    private double virtualTime;

    WeightedFlow(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    abstract double weight();

    /** Flows with queued work, in order of their virtual time. */
    static final class FlowSchedule<F extends WeightedFlow> {
        private final TreeSet<F> flows = new TreeSet<>(
                Comparator.<F>comparingDouble(WeightedFlow::virtualTime).thenComparing(WeightedFlow::name));

        /** Adds a flow that was idle. It starts at the lowest virtual time, so that idle time gives it no credit. */
        void activate(F flow) {
            double startTime = flows.isEmpty() ? 0 : flows.first().virtualTime();
            flow.setVirtualTime(startTime);
            flows.add(flow);
        }

        void deactivate(F flow) {
            flows.remove(flow);
        }

        void charge(F flow, double workMs) {
            flows.remove(flow);
            flow.setVirtualTime(flow.virtualTime() + workMs / flow.weight());
            flows.add(flow);
        }

        Iterable<F> inOrder() {
            return flows;
        }
    }

    double virtualTime() {
        return virtualTime;
    }

    void setVirtualTime(double time) {
        virtualTime = time;
    }
}
