package org.mustardlink.cli;

import java.nio.file.Path;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.soak.Soak;
import org.mustardlink.soak.SoakShape;

/**
 * {@code soak}: injects random faults into host processes that run with stand-ins of the platform, and checks the
 * answers to callers.
 */
final class SoakCommand implements Subcommand {
    /**
     * Jobs per second for each target. A job takes one slot for a second on average, so this leaves free slots for
     * bursts and for faulty targets.
     */
    private static final int JOBS_PER_SECOND_PER_TARGET = 4;

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("soak")
                .help("inject random faults into hosts with stand-ins of the platform and check the answers")
                .description(
                        "Starts dispatch hosts as processes, and a store and targets in this process. Injects faults"
                                + " drawn from the seed and checks that no task runs twice at once, that refusals and answers are"
                                + " correct, and that service recovers within 12 s. Prints one line for each violation and"
                                + " keeps its bundle.")
                .epilog("example: mustardlink soak --seed 1 --seconds 25 --hosts 7 --domains 3");
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .metavar("N")
                .help("seed of the random faults; default 1");
        addCountArgument(parser, "--seconds", 25, 86_400, "length of the fault schedule, in seconds; default 25");
        addCountArgument(parser, "--hosts", 5, 100, "number of host processes; default 5");
        addCountArgument(parser, "--domains", 2, 20, "number of failure domains; default 2");
        addCountArgument(parser, "--targets", 10, 200, "number of targets, of 8 slots each; default 10");
        parser.addArgument("--keep")
                .setDefault("soak-bundles")
                .metavar("DIR")
                .help("directory for the bundles of violations; default soak-bundles");
        parser.addArgument("--replay")
                .metavar("BUNDLE")
                .help("run the fault schedule of a bundle instead of one drawn from the seed");
        parser.setDefault(Main.COMMAND, this);
    }

    private static void addCountArgument(Subparser parser, String name, int defaultValue, int max, String help) {
        parser.addArgument(name)
                .type(new CountArgument(1, max))
                .setDefault(defaultValue)
                .metavar("N")
                .help(help);
    }

    @Override
    public int run(Namespace arguments) {
        int targets = arguments.getInt("targets");
        SoakShape shape = new SoakShape(
                arguments.getLong("seed"),
                arguments.getInt("seconds"),
                arguments.getInt("hosts"),
                arguments.getInt("domains"),
                targets,
                targets * JOBS_PER_SECOND_PER_TARGET);
        Path keep = Path.of(arguments.getString("keep"));
        Soak.Result result = Optional.ofNullable(arguments.getString("replay"))
                .map(bundle -> Soak.replay(shape, Path.of(bundle), keep, System.out::println))
                .orElseGet(() -> Soak.run(shape, keep, System.out::println));
        System.out.println(result.summary());
        return result.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }
}
