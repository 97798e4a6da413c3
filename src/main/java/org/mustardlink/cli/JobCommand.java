package org.mustardlink.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.http.HttpRequester;

/** {@code job status}: waits for the verdict of an earlier submission without submitting the job again. */
final class JobCommand implements Subcommand {
    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("job")
                .help("look up a job")
                .addSubparsers()
                .title("actions")
                .metavar("ACTION")
                .addParser("status")
                .help("wait for the answer of an earlier submission")
                .description("Waits for the answer of an earlier submission and never starts a task. Exit code 5"
                        + " means that the job has no answer yet or the address cannot be reached; 1 means that the"
                        + " sequence number was never used.")
                .epilog("example: mustardlink job status --entry 127.0.0.1:7201"
                        + " --submission balanza-entry-0~abc~1/0");
        JobArguments.addSubmissionArguments(parser);
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace arguments) {
        String submission = JobArguments.submission(arguments);
        try (HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
                Progress _progress = Progress.start("waiting for " + submission)) {
            VerdictDocument verdict = new CallerClient(requester)
                    .lookUp(JobArguments.entry(arguments), submission, JobArguments.waitTime(arguments))
                    .join();
            JobArguments.printVerdict(arguments, verdict);
            return ExitCode.of(verdict.outcome());
        }
    }
}
