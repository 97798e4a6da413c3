package org.mustardlink.core;

import java.util.Comparator;
import java.util.TreeSet;

/** Something that takes turns with others of its kind by the work that was started for it, over its weight. */
abstract class FairFlow {
    private final String name;
    private double served;

    FairFlow(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    abstract double weight();

    /** The flows of one kind that have something queued, the one that was served least first. */
    static final class Turns<F extends FairFlow> {
        private final TreeSet<F> flows =
                new TreeSet<>(Comparator.<F>comparingDouble(FairFlow::served).thenComparing(FairFlow::name));

        /** Adds a flow that was idle. It starts level with the flow whose turn is next and saves up nothing. */
        void join(F flow) {
            double level = flows.isEmpty() ? 0 : flows.first().served();
            flow.served(level);
            flows.add(flow);
        }

        void leave(F flow) {
            flows.remove(flow);
        }

        void charge(F flow, double work) {
            flows.remove(flow);
            flow.served(flow.served() + work / flow.weight());
            flows.add(flow);
        }

        Iterable<F> inOrder() {
            return flows;
        }
    }

    double served() {
        return served;
    }

    void served(double level) {
        served = level;
    }
}
