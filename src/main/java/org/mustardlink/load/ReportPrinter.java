package org.mustardlink.load;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Prints the reports of runs as text tables. */
public final class ReportPrinter {
    private final PrintStream out;

    /** Creates a printer that writes to a stream. */
    public ReportPrinter(PrintStream out) {
        this.out = out;
    }

    /**
     * Prints a table of all reports. Its rows are ordered by group, so that the policies of a group can be compared.
     */
    public void print(List<RunReport> reports) {
        RunReport first = reports.get(0);
        printLine("%s", first.settings());
        printLine("");
        printLine(
                "%-16s %-18s %7s %8s %7s  %s",
                "group", "policy", "jobs", "complete", "failed", "response/ideal p50 p90 p99 p99.9");
        for (RunReport.Group group : first.groups()) {
            for (RunReport report : reports) {
                report.groups().stream()
                        .filter(other -> other.name().equals(group.name()))
                        .forEach(other -> printGroup(report.policy(), other));
            }
            printLine("%-16s %-18s %25s  %s", group.name(), "(pooled queue)", "", quantiles(group.pooled()));
        }
        reports.forEach(this::printTotals);
    }

    /** Prints the figures of each second of a report. */
    public void printTimeline(RunReport report) {
        printLine("");
        printLine("time line, policy %s", report.policy());
        printLine("%6s %8s %8s %10s %7s", "second", "arrivals", "goodput", "p99 ratio", "failed");
        report.timeline()
                .forEach(row -> printLine(
                        "%6d %8d %8.2f %10.2f %7d",
                        row.second(), row.arrivals(), row.goodput(), row.p99(), row.failed()));
    }

    /** Returns a description of the settings in one line. */
    static String describe(LoadSettings settings) {
        return String.format(
                Locale.ROOT,
                "seed %d, load %.0f%%, arrivals %s, sizes %s, %d s after %d s warm-up, %d domains of %d entry hosts and"
                        + " %d targets, %d slots each, speeds 1..%.1f%s, network %.1f ms, faults %s",
                settings.seed(),
                settings.load() * 100,
                settings.arrivals(),
                settings.sizes(),
                settings.seconds(),
                settings.warmupSeconds(),
                settings.domains(),
                settings.entriesPerDomain(),
                settings.capacity().speeds().size(),
                settings.capacity().slots(),
                settings.capacity().maxSpeed(),
                settings.speedsDeclared() ? " declared" : " not declared",
                settings.networkMs(),
                settings.faults().isEmpty() ? "none" : settings.faults().toString());
    }

    private void printGroup(String policy, RunReport.Group group) {
        long failed = group.jobs() - group.complete();
        printLine(
                "%-16s %-18s %7d %8d %7d  %s  %s",
                group.name(),
                policy,
                group.jobs(),
                group.complete(),
                failed,
                quantiles(group.ratio()),
                failed == 0 ? "" : group.failed());
    }

    private void printTotals(RunReport report) {
        printLine("");
        printLine(
                "%s: %s, generator behind its schedule by %.2f ms at p99",
                report.policy(),
                report.counts().entrySet().stream()
                        .map(entry -> entry.getKey() + " " + entry.getValue())
                        .collect(Collectors.joining(", ")),
                report.sendDelayMs());
        printLine(
                "messages a task: %s",
                report.messages().entrySet().stream()
                        .map(entry -> String.format(Locale.ROOT, "%s %.4f", entry.getKey(), entry.getValue()))
                        .collect(Collectors.joining(", ")));
    }

    private static String quantiles(RunReport.Quantiles quantiles) {
        return String.format(
                Locale.ROOT,
                "%8.2f %8.2f %8.2f %8.2f",
                quantiles.p50(),
                quantiles.p90(),
                quantiles.p99(),
                quantiles.p999());
    }

    private void printLine(String format, Object... arguments) {
        out.println(String.format(Locale.ROOT, format, arguments));
    }
}
