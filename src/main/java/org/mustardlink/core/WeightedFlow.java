package org.mustardlink.core;

import java.util.Comparator;
import java.util.TreeSet;

/** Something that takes turns with others of its kind by the work that was started for it, over its weight. */
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

    /** The flows of one kind that have something queued, the one that was served least first. */
    static final class FlowSchedule<F extends WeightedFlow> {
        private final TreeSet<F> flows = new TreeSet<>(
                Comparator.<F>comparingDouble(WeightedFlow::virtualTime).thenComparing(WeightedFlow::name));

        /** Adds a flow that was idle. It starts level with the flow whose turn is next and saves up nothing. */
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
