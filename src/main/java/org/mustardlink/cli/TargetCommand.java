package org.mustardlink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.drain.DrainStatus;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Json;

/** {@code target}: shows, orders and reverts the drain of a target. */
final class TargetCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("target").help("show, order and revert the drain of a target");
        parser.addArgument("action").choices("status", "drain", "undrain");
        parser.addArgument("target").help("id of the target");
        parser.addArgument("--operator").required(true).help("operator address of an entry host, ip:port");
        parser.addArgument("--until").help("ISO 8601 instant at which the ordered drain ends");
        parser.addArgument("--reason").setDefault("").help("reason of the drain, shown to other operators");
        parser.addArgument("--change")
                .help("id of the change, random by default; repeat the id of an interrupted attempt to get its result");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        try (ConfigClient client = new ConfigClient(arguments.getString("operator"))) {
            return switch (arguments.getString("action")) {
                case "drain" -> apply(client, arguments, drainChange(arguments));
                case "undrain" -> undrain(client, arguments);
                default -> printStatus(client, arguments.getString("target"));
            };
        }
    }

    private static int printStatus(ConfigClient client, String target) {
        JsonNode status = client.get("/v1/targets/" + target);
        System.out.println(status.toPrettyString());
        boolean isKnown = !status.path("state").asText().equals(DrainStatus.State.UNKNOWN.name());
        return isKnown ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    private static int undrain(ConfigClient client, Namespace arguments) {
        String target = arguments.getString("target");
        JsonNode cause = client.get("/v1/targets").path("drained").path(target);
        return switch (cause.path("source").asText()) {
            case "ORDER" ->
                apply(client, arguments, emptyChange(cause.path("name").asText()));
            case "WINDOW" ->
                apply(client, arguments, releaseChange(target, cause.path("end").asText()));
            case "LEAVING" ->
                throw new CodedException(
                        ErrorCode.BAD_REQUEST,
                        "the platform marks " + target + " as leaving; only the platform can revert that");
            default -> throw new CodedException(ErrorCode.BAD_REQUEST, target + " is not drained");
        };
    }

    private static int apply(ConfigClient client, Namespace arguments, ObjectNode change) {
        JsonNode config = client.get("/v1/config");
        ChangeFile.fillDefaults(change, arguments.getString("change"), config);
        System.err.println("change " + change.path("change").asText());
        return ConfigCommand.printResult(client.post("/v1/config/changes", change));
    }

    private static ObjectNode drainChange(Namespace arguments) {
        ObjectNode change = emptyChange(arguments.getString("target"));
        change.putObject("body")
                .put("target", arguments.getString("target"))
                .put("action", "DRAIN")
                .put("until", arguments.getString("until"))
                .put("reason", arguments.getString("reason"));
        return change;
    }

    private static ObjectNode releaseChange(String target, String end) {
        ObjectNode change = emptyChange(target);
        change.putObject("body")
                .put("target", target)
                .put("action", "RELEASE")
                .put("until", end)
                .put("reason", "returned early");
        return change;
    }

    private static ObjectNode emptyChange(String name) {
        ObjectNode change = Json.mapper().createObjectNode();
        change.put("kind", "drain").put("name", name).putNull("body");
        return change;
    }
}
