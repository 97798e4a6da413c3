package org.mustardlink.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.HdrHistogram.Histogram;
import org.mustardlink.peer.bench.MembershipBench;

/** {@code members bench}: measures the membership protocol with real hosts on loopback. */
final class MembersCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("members").help("measure the membership protocol of entry hosts");
        Subparser bench = parser.addSubparsers()
                .title("commands")
                .metavar("COMMAND")
                .addParser("bench")
                .help("run hosts on loopback and measure traffic, CPU time and how fast membership changes spread");
        bench.addArgument("--hosts").type(Integer.class).setDefault(9).help("number of hosts");
        bench.addArgument("--domains").type(Integer.class).setDefault(3).help("number of failure domains");
        bench.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        MembershipBench.Result result = MembershipBench.run(arguments.getInt("hosts"), arguments.getInt("domains"));
        System.out.printf("%-28s %10d%n", "hosts", result.hosts());
        System.out.printf("%-28s %10.0f%n", "bytes sent /s a host", result.sentBytesPerSecond());
        System.out.printf("%-28s %10.2f%n", "calls started /s a host", result.callsPerSecond());
        System.out.printf("%-28s %10.3f%n", "CPU of a core, % a host", result.cpuShare() * 100);
        printTimes("kill known, ms", result.killMs());
        printTimes("leave known, ms", result.leaveMs());
        printTimes("join known, ms", result.joinMs());
        return ExitCode.OK;
    }

    private static void printTimes(String name, Histogram times) {
        System.out.printf(
                "%-28s p50 %6d  p99 %6d  max %6d%n",
                name, times.getValueAtPercentile(50), times.getValueAtPercentile(99), times.getMaxValue());
    }
}
