package org.mustardlink.load;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.TargetView;

/** Placement policies by name. */
public final class Policies {
    /** Name of the policy that the daemon uses. */
    public static final String DEFAULT = "default";

    private static final ImmutableMap<String, LongFunction<Supplier<PlacementPolicy>>> BY_NAME =
            ImmutableMap.<String, LongFunction<Supplier<PlacementPolicy>>>builder()
                    .put(DEFAULT, _seed -> PlacementPolicy::fastestFree)
                    .put("random", Policies::random)
                    .put("round-robin", _seed -> Policies::roundRobin)
                    .put("least-outstanding", _seed -> Policies::leastOutstanding)
                    .put("fastest-free", _seed -> PlacementPolicy::fastestFree)
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
        return () -> {
            SplittableRandom random = seeds.split();
            return (_task, candidates, _now) -> Optional.of(candidates.get(random.nextInt(candidates.size())));
        };
    }

    private static PlacementPolicy roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return (_task, candidates, _now) -> pick(candidates, next.getAndIncrement());
    }

    private static PlacementPolicy leastOutstanding() {
        AtomicInteger turn = new AtomicInteger();
        return (_task, candidates, _now) -> {
            int least =
                    candidates.stream().mapToInt(TargetView::outstanding).min().orElse(0);
            List<? extends TargetView> equal = candidates.stream()
                    .filter(view -> view.outstanding() == least)
                    .sorted(Comparator.comparing(view -> view.spec().id()))
                    .toList();
            return pick(equal, turn.getAndIncrement());
        };
    }

    private static Optional<? extends TargetView> pick(List<? extends TargetView> views, int turn) {
        return Optional.of(views.get(Math.floorMod(turn, views.size())));
    }
}
