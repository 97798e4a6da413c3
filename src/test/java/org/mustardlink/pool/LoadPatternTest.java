package org.mustardlink.pool;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays the load patterns of heavy days on three pools and checks who waits, who is refused and where work goes. */
final class LoadPatternTest {
    private static final PoolSimulation.Kind SHORT = new PoolSimulation.Kind("short", 8, 8, 60, 14_000);
    private static final PoolSimulation.Kind LONG = new PoolSimulation.Kind("long", 1.45, 4, 900, 14_000);
    private static final PoolSimulation.Kind MEDIUM = new PoolSimulation.Kind("medium", 23.3, 2, 200, 14_000);
    private static final Duration LENGTH = Duration.ofSeconds(30);

    private static PoolSimulation play(long seed, double factor) {
        PoolSimulation simulation = new PoolSimulation(seed);
        for (String domain : List.of("east", "north", "west")) {
            PoolId pool = simulation.addPool(domain, 7, 4, 0.7, 1.7, 32_000);
            for (PoolSimulation.Kind kind : List.of(SHORT, LONG, MEDIUM)) {
                PoolSimulation.Kind scaled = new PoolSimulation.Kind(
                        kind.name(), kind.perSecond() * factor, kind.tasks(), kind.taskMs(), kind.cpuMillis());
                simulation.traffic(pool, scaled, Duration.ofMillis(500), LENGTH);
            }
        }
        simulation.run(LENGTH.plusSeconds(3));
        return simulation;
    }

    @Test
    void print() {
        for (double factor : new double[] {0.55, 1.0, 1.2, 1.4, 1.8}) {
            PoolSimulation simulation = play(7, factor);
            System.out.println("factor " + factor + " mean " + simulation.meanShare() + " violations "
                    + simulation.violations().size());
            simulation.outcomes().forEach((kind, outcome) -> System.out.println("   " + kind + ": " + outcome));
        }
        assertThat(play(1, 0.55).violations()).isEmpty();
    }
}
