package org.mustardlink.cli;

import java.nio.file.Path;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.soak.Soak;
import org.mustardlink.soak.SoakShape;

/** {@code soak}: injects random faults into hosts that run as processes on stand-ins, and checks what callers see. */
final class SoakCommand implements Subcommand {
    /** Leaves room for a burst and for the targets that are faulty; a job takes one slot for a second on average. */
    private static final int JOBS_PER_TARGET = 4;

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("soak")
                .help("inject random faults into hosts on stand-ins and check what callers see")
                .description(
                        "Starts dispatch hosts as processes and a store and targets in this one, plays the faults that"
                                + " the seed draws, and checks that no task runs twice at once, that refusals and answers are true,"
                                + " and that service is back within 12 s. Each violation is one line; its bundle is kept.")
                .epilog("example: mustardlink soak --seed 1 --seconds 25 --hosts 7 --domains 3");
        parser.addArgument("--seed")
                .type(Long.class)
                .setDefault(1L)
                .metavar("N")
                .help("draws the faults; default 1");
        addCountArgument(parser, "--seconds", 25, 86_400, "length of the schedule; default 25");
        addCountArgument(parser, "--hosts", 5, 100, "host processes; default 5");
        addCountArgument(parser, "--domains", 2, 20, "failure domains; default 2");
        addCountArgument(parser, "--targets", 10, 200, "targets of 8 slots; default 10");
        parser.addArgument("--keep")
                .setDefault("soak-bundles")
                .metavar("DIR")
                .help("where bundles of violations are left; default soak-bundles");
        parser.addArgument("--replay").metavar("BUNDLE").help("play the schedule of a bundle instead of the seed's");
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
                targets * JOBS_PER_TARGET);
        Path keep = Path.of(arguments.getString("keep"));
        Soak.Result result = Optional.ofNullable(arguments.getString("replay"))
                .map(bundle -> Soak.replay(shape, Path.of(bundle), keep, System.out::println))
                .orElseGet(() -> Soak.run(shape, keep, System.out::println));
        System.out.println(result.summary());
        return result.violations().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }
}
