package org.mustardlink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Streams;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.config.replica.ApplyResult.Result;

/**
 * {@code config}: validates, compares, applies and shows configuration. There is no separate rollback: an operator
 * applies a change that contains the earlier body.
 */
final class ConfigCommand implements Subcommand {
    private static final ImmutableSet<String> ACTIONS_WITH_FILE = ImmutableSet.of("validate", "diff", "apply");

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("config").help("validate, apply and show configuration");
        parser.addArgument("action").choices("validate", "diff", "apply", "history", "show");
        parser.addArgument("--operator").required(true).help("operator address of an entry host, ip:port");
        parser.addArgument("--file").help("JSON file with the change, for validate, diff and apply");
        parser.addArgument("--change")
                .help("id of the change, random by default; repeat the id of an interrupted attempt to get its result");
        parser.addArgument("--limit").type(Integer.class).setDefault(20).help("number of changes that history shows");
        parser.addArgument("--kind").help("show only entities of this kind");
        parser.addArgument("--name").help("show only entities with this name");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        String action = arguments.getString("action");
        String file = arguments.getString("file");
        if (ACTIONS_WITH_FILE.contains(action) && file == null) {
            System.err.println("config " + action + " needs --file");
            return ExitCode.USAGE;
        }
        try (ConfigClient client = new ConfigClient(arguments.getString("operator"))) {
            return switch (action) {
                case "history" -> printHistory(client, arguments.getInt("limit"));
                case "show" -> printEntities(client, arguments.getString("kind"), arguments.getString("name"));
                default -> runWithFile(client, action, file, arguments.getString("change"));
            };
        }
    }

    /** Prints the result of a change and returns the matching exit code. */
    static int printResult(JsonNode result) {
        System.out.println(result.toPrettyString());
        return switch (Result.valueOf(result.path("result").asText())) {
            case IN_FORCE -> ExitCode.OK;
            case PARTIAL, REJECTED -> ExitCode.FAILED;
            case UNSETTLED, NOT_APPENDED, NOT_READY -> ExitCode.UNAVAILABLE;
        };
    }

    private static int runWithFile(ConfigClient client, String action, String file, String id) {
        JsonNode config = client.get("/v1/config");
        ObjectNode change = ChangeFile.fillDefaults(ChangeFile.read(file), id, config);
        return switch (action) {
            case "validate" -> printResult(client.post("/v1/config/preview", change));
            case "apply" -> {
                // Prints the id before the request, so that the operator can repeat an interrupted attempt under the
                // same id.
                System.err.println("change " + change.path("change").asText());
                yield printResult(client.post("/v1/config/changes", change));
            }
            default -> printDiff(change, config);
        };
    }

    private static int printDiff(ObjectNode change, JsonNode config) {
        ChangeFile.entities(change).forEach(entity -> {
            Optional<JsonNode> current = ChangeFile.findCurrent(entity, config);
            System.out.println(entity.path("kind").asText()
                    + '/'
                    + entity.path("name").asText()
                    + current.map(found -> " at revision " + found.path("revision"))
                            .orElse(" is new"));
            printChangedFields(current.map(found -> found.path("body")).orElse(null), entity.path("body"));
        });
        return ExitCode.OK;
    }

    private static void printChangedFields(JsonNode before, JsonNode after) {
        Set<String> fields = new TreeSet<>();
        after.fieldNames().forEachRemaining(fields::add);
        if (before != null) {
            before.fieldNames().forEachRemaining(fields::add);
        }
        for (String field : fields) {
            JsonNode old = before == null ? null : before.get(field);
            JsonNode next = after.get(field);
            if (old != null && !old.equals(next)) {
                System.out.println("- " + field + ": " + old);
            }
            if (next != null && !next.equals(old)) {
                System.out.println("+ " + field + ": " + next);
            }
        }
    }

    private static int printHistory(ConfigClient client, int limit) {
        System.out.printf("%-40s %10s  %-16s %s%n", "change", "offset", "result", "lost to");
        client.get("/v1/config/history?limit=" + limit)
                .forEach(change -> System.out.printf(
                        "%-40s %10d  %-16s %s%n",
                        change.path("change").asText(),
                        change.path("offset").asLong(),
                        change.path("code").asText().isEmpty()
                                ? "accepted"
                                : change.path("code").asText(),
                        change.path("winner").asText()));
        return ExitCode.OK;
    }

    private static int printEntities(ConfigClient client, String kind, String name) {
        JsonNode config = client.get("/v1/config");
        System.err.printf(
                "host %s at offset %d%n",
                config.path("host").asText(), config.path("offset").asLong());
        Streams.stream(config.path("entities"))
                .filter(entity -> kind == null || entity.path("kind").asText().equals(kind))
                .filter(entity -> name == null || entity.path("name").asText().equals(name))
                .forEach(System.out::println);
        return ExitCode.OK;
    }
}
