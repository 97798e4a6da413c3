package org.mustardlink.cli;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collections;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;

/** {@code submit}: submits one job and prints its answer. */
final class SubmitCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("submit").help("submit one job and print its answer");
        parser.addArgument("--entry").required(true).help("caller address of an entry host, ip:port");
        parser.addArgument("--service").setDefault("yard").help("service that runs the tasks");
        parser.addArgument("--team").setDefault("default").help("team whose quota pays");
        parser.addArgument("--tasks").type(Integer.class).setDefault(4).help("number of tasks, 1 to 210");
        parser.addArgument("--declared-ms")
                .type(Integer.class)
                .setDefault(100)
                .help("declared run time of a task, in milliseconds");
        parser.addArgument("--deadline-ms")
                .type(Integer.class)
                .setDefault(10_000)
                .help("deadline, in milliseconds");
        parser.addArgument("--payload")
                .setDefault("{\"runMs\":100,\"answer\":\"ok\"}")
                .help("payload of each task");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        InetSocketAddress entry = Addresses.parse(arguments.getString("entry"));
        Duration deadline = Duration.ofMillis(arguments.getInt("deadline_ms"));
        ImmutableMap<String, Object> task = ImmutableMap.of(
                "payload", arguments.getString("payload"), "declaredMs", arguments.getInt("declared_ms"));
        ImmutableMap<String, Object> job = ImmutableMap.of(
                "service", arguments.getString("service"),
                "team", arguments.getString("team"),
                "tasks", Collections.nCopies(arguments.getInt("tasks"), task));
        try (HttpRequester requester = HttpRequester.start(HttpRequester.Limits.small())) {
            CallerClient caller = new CallerClient(requester);
            String session = caller.openSession(entry).join();
            VerdictDocument verdict =
                    caller.submit(entry, session, 0, job, deadline).join();
            System.out.println(Json.write(verdict));
            return switch (verdict.outcome()) {
                case COMPLETE -> ExitCode.OK;
                case NOT_RUN -> ExitCode.NOT_RUN;
                case MAY_HAVE_RUN -> ExitCode.MAY_HAVE_RUN;
            };
        }
    }
}
