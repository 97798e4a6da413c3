package org.mustardlink.load;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.SplittableRandom;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.policy.BaselinePolicies;
import org.mustardlink.core.policy.ExpectedFinishPlacement;

/** Placement policies by name. */
public final class Policies {
    /** Name of the policy that the daemon uses. */
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

    /** Returns every name. */
    public static ImmutableSet<String> names() {
        return BY_NAME.keySet();
    }

    /**
     * Returns the maker of a policy, to be called once for each entry host.
     *
     * @param name one of {@link #names()}
     * @param seed seed of the policies that draw random numbers
     */
    static Supplier<PlacementPolicy> find(String name, long seed) {
        return BY_NAME.get(name).apply(seed);
    }

    private static Supplier<PlacementPolicy> random(long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        return () -> BaselinePolicies.random(seeds.nextLong());
    }
}
