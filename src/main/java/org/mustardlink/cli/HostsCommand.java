package org.mustardlink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.List;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.http.Json;

/** {@code hosts}: shows the entry hosts known to each given entry host. */
final class HostsCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("hosts")
                .help("show the entry hosts known to given entry hosts")
                .description("Shows each given entry host and the entry hosts known to it.")
                .epilog("example: mustardlink hosts --operator 127.0.0.1:7202");
        StatusClient.addOperatorArgument(parser);
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        List<InetSocketAddress> operators = arguments.getList("operator");
        try (StatusClient client = new StatusClient()) {
            for (InetSocketAddress operator : operators) {
                JsonNode status = client.status(operator);
                if (arguments.getBoolean("json")) {
                    System.out.println(
                            Json.write(ImmutableMap.of("host", status.get("host"), "hosts", status.path("hosts"))));
                } else {
                    System.out.println(Table.ofJson(status.get("host")));
                    System.out.println(
                            "entry hosts known to " + status.at("/host/id").asText() + ":");
                    System.out.println(Table.ofJson(status.path("hosts")));
                }
            }
        }
        return ExitCode.OK;
    }
}
