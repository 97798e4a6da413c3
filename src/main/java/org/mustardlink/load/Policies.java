package org.mustardlink.load;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.SplittableRandom;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.policy.BaselinePolicies;
import org.mustardlink.core.policy.ExpectedFinishPlacement;

/** The placement policies that a run can compare, by name. */
public final class Policies {
    /** Name of the policy that the dispatcher uses in production. */
    public static final String DEFAULT = "default";

    private static final ImmutableMap<String, LongFunction<Supplier<PlacementPolicy>>> BY_NAME =
            ImmutableMap.<String, LongFunction<Supplier<PlacementPolicy>>>builder()
                    .put(DEFAULT, _seed -> ExpectedFinishPlacement::create)
                    .put("random", Policies::random)
                    .put("round-robin", _seed -> BaselinePolicies::roundRobin)
                    .put("least-outstanding", _seed -> BaselinePolicies::leastOutstanding)
                    .put("fastest-free", _seed -> BaselinePolicies::fastestFree)
                    .buildOrThrow();

    private Policies() {}

    /** Returns the names of all policies. */
    public static ImmutableSet<String> names() {
        return BY_NAME.keySet();
    }

    /**
     * Returns a supplier of instances of a policy, one for each entry host.
     *
     * @param name one of {@link #names()}
     * @param seed seed for the policies that use random numbers
     */
    static Supplier<PlacementPolicy> find(String name, long seed) {
        return BY_NAME.get(name).apply(seed);
    }

    private static Supplier<PlacementPolicy> random(long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        return () -> BaselinePolicies.random(seeds.nextLong());
    }
}
