package org.mustardlink.core.policy;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.TargetView;

/** Baseline placement policies for comparison. None of them leaves a task queued while a slot is free. */
public final class BaselinePolicies {
    private BaselinePolicies() {}

    /** Returns a policy that chooses a free target at random. */
    public static PlacementPolicy random(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return (_task, view) ->
                Optional.of(view.free().get(random.nextInt(view.free().size())));
    }

    /** Returns a policy that chooses the free targets in turn. */
    public static PlacementPolicy roundRobin() {
        AtomicInteger turn = new AtomicInteger();
        return (_task, view) -> takeTurn(view.free(), turn.getAndIncrement());
    }

    /**
     * Returns a policy that chooses the free target with the fewest attempts of this entry host in flight. Targets with
     * equal numbers are chosen in turn.
     */
    public static PlacementPolicy leastOutstanding() {
        AtomicInteger turn = new AtomicInteger();
        return (_task, view) -> {
            int least =
                    view.free().stream().mapToInt(TargetView::outstanding).min().orElse(0);
            List<? extends TargetView> equal = view.free().stream()
                    .filter(target -> target.outstanding() == least)
                    .toList();
            return takeTurn(equal, turn.getAndIncrement());
        };
    }

    private static Optional<? extends TargetView> takeTurn(List<? extends TargetView> views, int turn) {
        return Optional.of(views.get(Math.floorMod(turn, views.size())));
    }

    /** Returns a policy that chooses the free target with the highest learned speed. */
    public static PlacementPolicy fastestFree() {
        return PlacementPolicy.fastestFree();
    }

    /**
     * Returns a policy by its name in the settings: {@code expected-finish}, {@code random}, {@code round-robin},
     * {@code least-outstanding} or {@code fastest-free}.
     *
     * @param name name of the policy
     * @param seed seed of the random policy
     * @throws IllegalArgumentException if there is no policy of that name
     */
    public static PlacementPolicy named(String name, long seed) {
        return switch (name) {
            case "expected-finish" -> ExpectedFinishPlacement.create();
            case "random" -> random(seed);
            case "round-robin" -> roundRobin();
            case "least-outstanding" -> leastOutstanding();
            case "fastest-free" -> fastestFree();
            default -> throw new IllegalArgumentException("unknown placement policy: " + name);
        };
    }
}
