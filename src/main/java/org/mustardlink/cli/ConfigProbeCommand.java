package org.mustardlink.cli;

import java.time.Duration;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.standin.ConfigReplicaBench;

/**
 * {@code config-probe}: measures the cost and delay of replicating the configuration, where each host reads the log or
 * where one host of each failure domain reads it for the others.
 */
final class ConfigProbeCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("config-probe").help("measure the cost and delay of configuration changes");
        parser.addArgument("--hosts").type(Integer.class).nargs("+").setDefault(java.util.List.of(9, 24));
        parser.addArgument("--changes").type(Integer.class).setDefault(40).help("number of changes in each run");
        parser.addArgument("--idle-seconds").type(Integer.class).setDefault(10);
        parser.addArgument("--pull-ms")
                .type(Integer.class)
                .setDefault(500)
                .help("time between two polls of a peer, in milliseconds");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        Duration pullPeriod = Duration.ofMillis(arguments.getInt("pull_ms"));
        Duration idleTime = Duration.ofSeconds(arguments.getInt("idle_seconds"));
        // Warm-up: loading classes reads files and takes processor time, which must not count in the measurement.
        ConfigReplicaBench.measure(3, false, pullPeriod, Duration.ofMillis(100), 8);
        ConfigReplicaBench.measure(4, true, pullPeriod, Duration.ofMillis(100), 8);
        System.out.printf(
                "%5s %-6s %12s %12s %12s %12s %8s %8s %8s%n",
                "hosts", "reader", "idle B/s", "idle us/s", "B/change", "us/change", "p50 ms", "p99 ms", "max ms");
        for (boolean usesRelay : new boolean[] {false, true}) {
            for (Integer hosts : arguments.<Integer>getList("hosts")) {
                ConfigReplicaBench.Cost cost =
                        ConfigReplicaBench.measure(hosts, usesRelay, pullPeriod, idleTime, arguments.getInt("changes"));
                System.out.printf(
                        "%5d %-6s %12.0f %12.0f %12.0f %12.0f %8.1f %8.1f %8.1f%n",
                        hosts,
                        usesRelay ? "relay" : "each",
                        cost.idleBytes(),
                        cost.idleCpu(),
                        cost.changeBytes(),
                        cost.changeCpu(),
                        cost.p50Ms(),
                        cost.p99Ms(),
                        cost.maxMs());
            }
        }
        return ExitCode.OK;
    }
}
