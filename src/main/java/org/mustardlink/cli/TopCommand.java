package org.mustardlink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.errors.CodedException;
import org.mustardlink.http.Addresses;

/** {@code top}: shows the status, targets, rates and response times of entry hosts, refreshed periodically. */
final class TopCommand implements Subcommand {
    private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";
    private static final String RESPONSE_TIME_PREFIX = "response_time.";

    private final Map<InetSocketAddress, Sample> previousSamples = new HashMap<>();

    private record Sample(JsonNode counters, long nanos) {}

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("top")
                .help("watch entry hosts: targets, drains, hosts, revision, rates, response times")
                .description(
                        "Shows the given entry hosts in a table that is refreshed periodically. Rates are per second since the"
                                + " last refresh; response times are since the start of the host, in milliseconds.")
                .epilog("example: mustardlink top --operator 127.0.0.1:7202 --interval-ms 2000");
        StatusClient.addOperatorArgument(parser);
        parser.addArgument("--interval-ms")
                .type(new CountArgument(100, 3_600_000))
                .setDefault(1000)
                .metavar("MS")
                .help("interval between refreshes, in milliseconds; default 1000");
        parser.addArgument("--count")
                .type(new CountArgument(0, Integer.MAX_VALUE))
                .setDefault(0)
                .metavar("N")
                .help("number of refreshes; default 0, which means until interrupted");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print one JSON document per line");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        List<InetSocketAddress> operators = arguments.getList("operator");
        int count = arguments.getInt("count");
        boolean json = arguments.getBoolean("json");
        boolean clear = !json && Terminal.isPresent();
        int reached = 0;
        try (StatusClient client = new StatusClient()) {
            for (int i = 0; count == 0 || i < count; i++) {
                if (i > 0) {
                    Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(arguments.getInt("interval_ms")));
                }
                StringBuilder screen = new StringBuilder(clear ? CLEAR_SCREEN : "");
                reached = 0;
                for (InetSocketAddress operator : operators) {
                    reached += appendStatus(client, operator, json, screen) ? 1 : 0;
                }
                System.out.print(screen);
                System.out.flush();
            }
        }
        return reached == operators.size() ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    /** Appends the status of an entry host to the screen and returns whether the host was reached. */
    private boolean appendStatus(StatusClient client, InetSocketAddress operator, boolean json, StringBuilder screen) {
        JsonNode status;
        try {
            status = client.status(operator);
        } catch (CodedException | java.util.concurrent.CompletionException e) {
            screen.append(Addresses.format(operator))
                    .append(": ")
                    .append(Main.describe(e))
                    .append('\n');
            return false;
        }
        screen.append(json ? status.toString() + '\n' : render(operator, status));
        return true;
    }

    private String render(InetSocketAddress operator, JsonNode status) {
        JsonNode host = status.get("host");
        JsonNode metrics = status.path("metrics");
        Sample now = new Sample(metrics.path("counters"), System.nanoTime());
        Sample before = previousSamples.put(operator, now);
        return "%s  domain %s  region %s  %s  known hosts %d  configuration %s  open jobs %d  heap %d of %d MiB\n\n"
                        .formatted(
                                host.path("id").asText(),
                                host.path("domain").asText(),
                                host.path("region").asText(),
                                describeState(host),
                                status.path("hosts").size(),
                                status.has("configuration")
                                        ? status.path("configuration")
                                                .path("revision")
                                                .asText("none")
                                        : host.path("ready").asBoolean() ? "read" : "none",
                                gaugeValue(metrics, "open_jobs"),
                                gaugeValue(metrics, "heap_used_bytes") >> 20,
                                gaugeValue(metrics, "heap_max_bytes") >> 20)
                + renderRates(before, now)
                + '\n'
                + (status.path("targets").isEmpty() ? "no target is declared\n" : Table.ofJson(status.path("targets")))
                + '\n'
                + renderResponseTimes(metrics.path("timers"))
                + '\n';
    }

    private static String describeState(JsonNode host) {
        if (host.path("leaving").asBoolean()) {
            return "leaving";
        }
        return host.path("ready").asBoolean() ? "ready" : "not ready";
    }

    private static long gaugeValue(JsonNode metrics, String name) {
        return metrics.path("gauges").path(name).path("value").asLong();
    }

    private static String renderRates(Sample before, Sample now) {
        Table table = Table.of("counter", "total", "per second");
        now.counters().properties().forEach(counter -> {
            long total = counter.getValue().path("count").asLong();
            if (total > 0) {
                table.addRow(
                        counter.getKey(),
                        total,
                        before == null ? "-" : formatRate(before, now, counter.getKey(), total));
            }
        });
        return table.toString();
    }

    private static String formatRate(Sample before, Sample now, String name, long total) {
        long previousTotal = before.counters().path(name).path("count").asLong();
        double seconds = (now.nanos() - before.nanos()) / 1e9;
        return "%.1f".formatted((total - previousTotal) / seconds);
    }

    private static String renderResponseTimes(JsonNode timers) {
        Table table = Table.of("response time of team and class", "jobs", "p50 ms", "p99 ms", "p99.9 ms", "max ms");
        timers.properties().forEach(timer -> {
            if (timer.getKey().startsWith(RESPONSE_TIME_PREFIX)) {
                JsonNode values = timer.getValue();
                table.addRow(
                        timer.getKey().substring(RESPONSE_TIME_PREFIX.length()).replace('.', ' '),
                        values.path("count").asLong(),
                        formatMillis(values, "p50"),
                        formatMillis(values, "p99"),
                        formatMillis(values, "p999"),
                        formatMillis(values, "max"));
            }
        });
        return table.toString();
    }

    private static String formatMillis(JsonNode values, String name) {
        return "%.1f".formatted(values.path(name).asDouble());
    }
}
