package org.mustardlink.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.core.Reason;
import org.mustardlink.http.HttpRequester;

/** {@code cancel}: cancels a submission. */
final class CancelCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("cancel")
                .help("cancel a job")
                .description("Cancels a submission. Exit code 0 means that the job was cancelled before any of its"
                        + " tasks started, or was already complete; 4 means that tasks may have run.")
                .epilog("example: mustardlink cancel --entry 127.0.0.1:7201 --submission balanza-entry-0~abc~1/0");
        JobArguments.addSubmissionArguments(parser);
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        String submission = JobArguments.submission(arguments);
        try (HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls())) {
            VerdictDocument verdict = new CallerClient(requester)
                    .cancel(JobArguments.entry(arguments), submission, JobArguments.waitTime(arguments))
                    .join();
            JobArguments.printVerdict(arguments, verdict);
            return verdict.reason() == Reason.CANCELLED ? ExitCode.OK : ExitCode.of(verdict.outcome());
        }
    }
}
