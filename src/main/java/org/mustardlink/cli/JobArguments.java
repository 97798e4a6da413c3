package org.mustardlink.cli;

import java.net.InetSocketAddress;
import java.time.Duration;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.core.Outcome;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Json;

/** Arguments and output shared by the commands that act on one job. */
final class JobArguments {
    private JobArguments() {}

    static void addTo(ArgumentParser parser) {
        parser.addArgument("--entry")
                .required(true)
                .type(new AddressArgument())
                .metavar(AddressArgument.METAVAR)
                .help("caller address of any entry host");
        parser.addArgument("--json").action(Arguments.storeTrue()).help("print the answer as JSON");
    }

    static void addSubmissionArguments(ArgumentParser parser) {
        addTo(parser);
        parser.addArgument("--submission")
                .required(true)
                .metavar("SESSION/NUMBER")
                .help("id of the submission, as printed by submit");
        parser.addArgument("--wait-ms")
                .type(new CountArgument(1, 3_600_000))
                .setDefault(5000)
                .metavar("MS")
                .help("maximum time to wait for the answer, in milliseconds; default 5000");
    }

    static InetSocketAddress entry(Namespace arguments) {
        return arguments.get("entry");
    }

    static Duration waitTime(Namespace arguments) {
        return Duration.ofMillis(arguments.getInt("wait_ms"));
    }

    /**
     * Returns the submission id.
     *
     * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the submission id is malformed
     */
    static String submission(Namespace arguments) {
        String text = arguments.getString("submission");
        try {
            return SubmissionId.parse(text).toString();
        } catch (IllegalArgumentException e) {
            String message = "--submission: expected SESSION/NUMBER, such as balanza-entry-0~abc~1/0, but got " + text;
            throw new CodedException(ErrorCode.BAD_REQUEST, message, e);
        }
    }

    static void printVerdict(Namespace arguments, VerdictDocument verdict) {
        if (arguments.getBoolean("json")) {
            System.out.println(Json.write(verdict));
            return;
        }
        Table table = Table.of("field", "value")
                .addRow("submission", verdict.submission())
                .addRow("outcome", verdict.outcome())
                .addRow("reason", verdict.reason());
        if (verdict.retryAfterMs() != null) {
            table.addRow("come back after", verdict.retryAfterMs() + " ms");
        }
        for (int i = 0; i < verdict.results().size(); i++) {
            table.addRow("result " + i, verdict.results().get(i));
        }
        System.out.print(table);
        if (verdict.outcome() != Outcome.COMPLETE) {
            System.out.println("docs/errors.md explains " + verdict.reason() + " and what to do about it.");
        }
    }
}
