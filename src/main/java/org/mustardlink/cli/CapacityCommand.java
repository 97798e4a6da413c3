package org.mustardlink.cli;

import com.google.common.collect.ImmutableList;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.capacity.CapacityMeasurements;
import org.mustardlink.capacity.CostSlope;
import org.mustardlink.http.Json;

/** {@code capacity}: measures how the memory and processor time of the core grow with sessions, tasks and targets. */
final class CapacityCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("capacity")
                .help("measure how memory and CPU time of the core grow with sessions, tasks and targets (needs"
                        + " -Xmx512m)");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        ImmutableList<CostSlope> slopes = CapacityMeasurements.measureAll();
        if (arguments.getBoolean("json")) {
            System.out.println(Json.write(slopes));
            return ExitCode.OK;
        }
        System.out.printf("%-52s %-6s %12s %14s  %s%n", "what grows", "unit", "each", "fixed", "measured at");
        for (CostSlope slope : slopes) {
            String sizes = slope.points().stream()
                    .map(point -> "%d: %.0f".formatted(point.size(), point.cost()))
                    .reduce((left, right) -> left + ", " + right)
                    .orElse("");
            System.out.printf(
                    "%-52s %-6s %12.1f %14.0f  %s%n",
                    slope.name(), slope.unit(), slope.costPerUnit(), slope.fixedCost(), sizes);
        }
        return ExitCode.OK;
    }
}
