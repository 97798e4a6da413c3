package org.mustardlink.cli;

import com.google.common.collect.ImmutableMap;
import com.google.common.io.Files;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.core.JobRequest;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpRequester;

/** {@code submit}: submits one job and prints its answer. */
final class SubmitCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("submit")
                .help("submit one job and print its answer")
                .description("Submits one job of equal tasks. Without --session it opens a session; with --session and"
                        + " --sequence it submits the same job again, which never starts a task a second time.")
                .epilog("example: mustardlink submit --entry 127.0.0.1:7201 --service yard --tasks 4"
                        + " --deadline-ms 2000");
        JobArguments.addTo(parser);
        parser.addArgument("--service").setDefault("yard").help("service that runs the tasks; default yard");
        parser.addArgument("--team").setDefault("default").help("team whose quota is charged; default default");
        parser.addArgument("--class").dest("job_class").setDefault("default").help("class of the job; default default");
        parser.addArgument("--idempotent")
                .action(Arguments.storeTrue())
                .help("declare that running a task twice is harmless");
        addCountArgument(parser, "--tasks", JobRequest.MAX_TASKS, 4, "number of tasks, 1 to " + JobRequest.MAX_TASKS);
        addCountArgument(parser, "--declared-ms", 3_600_000, 100, "declared run time of a task, in milliseconds");
        addCountArgument(
                parser,
                "--deadline-ms",
                3_600_000,
                10_000,
                "time within which the job must be answered, in milliseconds");
        parser.addArgument("--payload")
                .setDefault("{\"runMs\":100,\"answer\":\"ok\"}")
                .help("payload of each task; by default a task of 100 ms for a stand-in target");
        parser.addArgument("--payload-file").metavar("FILE").help("UTF-8 file with the payload of each task");
        parser.addArgument("--session").help("id of the session of an earlier submit");
        parser.addArgument("--sequence")
                .type(new CountArgument(0, (1 << 20) - 1))
                .setDefault(0)
                .metavar("NUMBER")
                .help("sequence number of the job in its session; default 0");
        parser.setDefault(Main.COMMAND, this);
    }

    private static void addCountArgument(Subparser parser, String name, int max, int defaultValue, String help) {
        parser.addArgument(name)
                .type(new CountArgument(1, max))
                .setDefault(defaultValue)
                .metavar("N")
                .help(help + "; default " + defaultValue);
    }

    @Override
    public int run(Namespace arguments) {
        InetSocketAddress entry = JobArguments.entry(arguments);
        Duration deadline = Duration.ofMillis(arguments.getInt("deadline_ms"));
        ImmutableMap<String, Object> task =
                ImmutableMap.of("payload", payload(arguments), "declaredMs", arguments.getInt("declared_ms"));
        ImmutableMap<String, Object> job = ImmutableMap.of(
                "service", arguments.getString("service"),
                "team", arguments.getString("team"),
                "class", arguments.getString("job_class"),
                "idempotent", arguments.getBoolean("idempotent"),
                "tasks", Collections.nCopies(arguments.getInt("tasks"), task));
        try (HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
                Progress _progress = Progress.start("waiting up to " + deadline.toSeconds() + " s")) {
            CallerClient caller = new CallerClient(requester);
            String session = Optional.ofNullable(arguments.getString("session"))
                    .orElseGet(() -> caller.openSession(entry).join());
            VerdictDocument verdict = caller.submit(entry, session, arguments.getInt("sequence"), job, deadline)
                    .join();
            JobArguments.printVerdict(arguments, verdict);
            return ExitCode.of(verdict.outcome());
        }
    }

    private static String payload(Namespace arguments) {
        String file = arguments.getString("payload_file");
        if (file == null) {
            return arguments.getString("payload");
        }
        try {
            return Files.asCharSource(new File(file), StandardCharsets.UTF_8).read();
        } catch (IOException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "--payload-file: cannot read " + file, e);
        }
    }
}
