package org.mustardlink.cli;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.File;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.Json;
import org.mustardlink.load.ArrivalPattern;
import org.mustardlink.load.DistributionPlot;
import org.mustardlink.load.DomainCapacity;
import org.mustardlink.load.EntryHostBenchmark;
import org.mustardlink.load.Fault;
import org.mustardlink.load.JobSizeMix;
import org.mustardlink.load.LoadRun;
import org.mustardlink.load.LoadSettings;
import org.mustardlink.load.Policies;
import org.mustardlink.load.ReportPrinter;
import org.mustardlink.load.RunReport;

/**
 * {@code load}: measures the ratio of response time to ideal response time under a seeded load; {@code docs/load.md}
 * describes it.
 */
final class LoadCommand implements Subcommand {
    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').omitEmptyStrings().trimResults();

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("load").help("measure entry hosts under a seeded load");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the arrivals");
        parser.addArgument("--load").type(Double.class).setDefault(0.7).help("load as a share of the capacity");
        parser.addArgument("--arrivals")
                .choices(lowerCaseNames(ArrivalPattern.values()))
                .setDefault("steady");
        parser.addArgument("--sizes")
                .choices(lowerCaseNames(JobSizeMix.values()))
                .setDefault("mix")
                .help("mix of job sizes");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(20)
                .help("length of the measured period, in seconds");
        parser.addArgument("--warmup")
                .type(Integer.class)
                .setDefault(5)
                .help("length of the warm-up before the measured period, in seconds");
        parser.addArgument("--deadline-ms")
                .type(Long.class)
                .setDefault(30_000L)
                .help("deadline of each job, in milliseconds");
        parser.addArgument("--domains").type(Integer.class).setDefault(3).help("number of failure domains");
        parser.addArgument("--entries").type(Integer.class).setDefault(3).help("number of entry hosts in each domain");
        parser.addArgument("--targets").type(Integer.class).setDefault(10).help("number of targets in each domain");
        parser.addArgument("--slots").type(Integer.class).setDefault(8).help("number of slots of each target");
        parser.addArgument("--spread")
                .type(Double.class)
                .setDefault(5.0)
                .help("speed of the fastest target divided by that of the slowest; 1 makes them equal");
        parser.addArgument("--undeclared").action(Arguments.storeTrue()).help("declare speed 1 for each target");
        parser.addArgument("--network-ms")
                .type(Double.class)
                .setDefault(0.0)
                .help("network time added to response and ideal time, in milliseconds");
        parser.addArgument("--wave")
                .type(Integer.class)
                .setDefault(2000)
                .help("number of jobs in each wave of cancellations");
        parser.addArgument("--fault")
                .action(Arguments.append())
                .setDefault(new ArrayList<>())
                .help("KIND:FROM[:TO[:ARGUMENT]]; kinds blackhole, stall, kill, rack, entry, overload");
        parser.addArgument("--entry").setDefault("").help("caller addresses of running entry hosts, domain by domain");
        parser.addArgument("--policy")
                .choices(Policies.names())
                .setDefault(Policies.DEFAULT)
                .help("placement policy");
        parser.addArgument("--compare").help("policies to compare on the same arrivals, separated by commas");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        parser.addArgument("--timeline").action(Arguments.storeTrue()).help("print one row for each second");
        parser.addArgument("--plot").metavar("FILE.png").help("plot the distributions to a file");
        parser.addArgument("--plot-group").setDefault("all").help("group of jobs to plot");
        parser.addArgument("--bench").choices("latency", "throughput").help("measure --entry with 1 ms tasks instead");
        parser.addArgument("--pid").type(Long.class).help("process id of the measured entry host");
        parser.addArgument("--job-tasks")
                .type(Integer.class)
                .setDefault(1)
                .help("number of tasks of each job, with --bench");
        parser.addArgument("--at-once")
                .type(Integer.class)
                .setDefault(64)
                .help("number of jobs in flight, with --bench throughput");
        parser.addArgument("--rate").type(Integer.class).setDefault(100).help("jobs per second, with --bench latency");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        Optional<String> bench = Optional.ofNullable(arguments.getString("bench"));
        return bench.isPresent() ? runBench(bench.get(), arguments) : runLoad(arguments);
    }

    private static int runBench(String kind, Namespace arguments) {
        EntryHostBenchmark.Settings settings = new EntryHostBenchmark.Settings(
                parseAddresses(arguments.getString("entry")).get(0),
                Optional.ofNullable(arguments.getLong("pid")),
                arguments.getInt("seconds"),
                arguments.getInt("job_tasks"),
                arguments.getInt("at_once"),
                arguments.getInt("rate"));
        System.out.println(Json.write(
                kind.equals("latency")
                        ? EntryHostBenchmark.measureLatency(settings)
                        : EntryHostBenchmark.measureThroughput(settings)));
        return ExitCode.OK;
    }

    private static int runLoad(Namespace arguments) {
        LoadSettings settings = parseSettings(arguments);
        List<String> policies = Optional.ofNullable(arguments.getString("compare"))
                .map(COMMA_SPLITTER::splitToList)
                .orElseGet(() -> ImmutableList.of(arguments.getString("policy")));
        if (!Policies.names().containsAll(policies)) {
            System.err.println("unknown policy; the policies are " + Policies.names());
            return ExitCode.USAGE;
        }
        List<LoadRun.Result> results =
                policies.stream().map(policy -> LoadRun.run(settings, policy)).toList();
        List<RunReport> reports = results.stream().map(LoadRun.Result::report).toList();
        if (arguments.getBoolean("json")) {
            System.out.println(Json.write(reports));
        } else {
            printReports(
                    reports,
                    arguments.getBoolean("timeline") || !settings.faults().isEmpty());
        }
        Optional.ofNullable(arguments.getString("plot"))
                .ifPresent(
                        file -> DistributionPlot.writePng(new File(file), arguments.getString("plot_group"), results));
        return ExitCode.OK;
    }

    private static void printReports(List<RunReport> reports, boolean timeline) {
        ReportPrinter printer = new ReportPrinter(System.out);
        printer.print(reports);
        if (timeline) {
            reports.forEach(printer::printTimeline);
        }
    }

    private static LoadSettings parseSettings(Namespace arguments) {
        return new LoadSettings(
                arguments.getLong("seed"),
                arguments.getDouble("load"),
                ArrivalPattern.valueOf(arguments.getString("arrivals").toUpperCase(Locale.ROOT)),
                JobSizeMix.valueOf(arguments.getString("sizes").toUpperCase(Locale.ROOT)),
                arguments.getInt("seconds"),
                arguments.getInt("warmup"),
                Duration.ofMillis(arguments.getLong("deadline_ms")),
                arguments.getInt("domains"),
                arguments.getInt("entries"),
                DomainCapacity.evenlySpaced(
                        arguments.getInt("targets"), arguments.getInt("slots"), arguments.getDouble("spread")),
                !arguments.getBoolean("undeclared"),
                arguments.getDouble("network_ms"),
                arguments.getInt("wave"),
                arguments.<String>getList("fault").stream().map(Fault::parse).collect(ImmutableList.toImmutableList()),
                parseAddresses(arguments.getString("entry")));
    }

    private static ImmutableList<InetSocketAddress> parseAddresses(String text) {
        return COMMA_SPLITTER.splitToStream(text).map(Addresses::parse).collect(ImmutableList.toImmutableList());
    }

    private static String[] lowerCaseNames(Enum<?>[] values) {
        return ImmutableList.copyOf(values).stream()
                .map(value -> value.name().toLowerCase(Locale.ROOT))
                .toArray(String[]::new);
    }
}
