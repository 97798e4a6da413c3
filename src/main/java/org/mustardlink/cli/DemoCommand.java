package org.mustardlink.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.mustardlink.api.VerdictDocument;
import org.mustardlink.caller.CallerClient;
import org.mustardlink.core.Outcome;
import org.mustardlink.core.Reason;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.standin.StandInTarget;
import org.mustardlink.standin.TestBed;

/**
 * {@code demo}: runs a whole deployment in one process, drains one target and kills another while jobs run, and checks
 * every answer.
 */
final class DemoCommand implements Subcommand {
    private static final int JOBS = 300;
    private static final int TASKS_PER_JOB = 5;
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final Duration SUBMIT_INTERVAL = Duration.ofMillis(10);

    @Override
    public void register(Subparsers parsers) {
        Subparser parser = parsers.addParser("demo")
                .help("run a whole deployment in this process and check its answers")
                .description("Starts a stand-in platform, nine stand-in targets and six entry hosts in three failure"
                        + " domains, submits jobs while one target drains and another is killed, and checks every"
                        + " answer. Takes about ten seconds and needs no other process.");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace _arguments) {
        printLine("starting a stand-in platform, 9 targets and 6 entry hosts in 3 failure domains on loopback");
        try (TestBed testBed = TestBed.start(TestBed.Shape.demo());
                HttpRequester requester = HttpRequester.start(
                        new HttpRequester.Limits(256, 1024, Duration.ofSeconds(2), Duration.ofSeconds(30), 1))) {
            return checkAnswers(testBed, submitJobs(testBed, new CallerClient(requester)));
        }
    }

    private static List<VerdictDocument> submitJobs(TestBed testBed, CallerClient caller) {
        ImmutableList<InetSocketAddress> callerAddresses = testBed.callerAddresses();
        List<String> sessions = callerAddresses.stream()
                .map(entry -> caller.openSession(entry).join())
                .toList();
        ImmutableMap<String, Object> task =
                ImmutableMap.of("payload", "{\"runMs\":100,\"answer\":\"ok\"}", "declaredMs", 100);
        ImmutableMap<String, Object> job = ImmutableMap.of(
                "service", TestBed.SERVICE, "team", "demo", "tasks", Collections.nCopies(TASKS_PER_JOB, task));
        List<CompletableFuture<VerdictDocument>> answers = new ArrayList<>();
        printLine("an operator address, while the demo runs: http://"
                + Addresses.format(testBed.entryHosts().get(0).operatorAddress()) + "/");
        printLine("submitting " + JOBS + " jobs of " + TASKS_PER_JOB
                + " tasks of 100 ms; every third job goes through an entry host" + " that does not own its session");
        for (int i = 0; i < JOBS; i++) {
            if (i == JOBS / 3) {
                printLine("target 0 is draining: it refuses new tasks, which must go to other targets");
                testBed.targets().get(0).switchMode(StandInTarget.Mode.DRAINING);
            }
            if (i == 2 * JOBS / 3) {
                printLine("target 1 is killed: tasks in flight on it may have run, so their jobs end as TARGET_LOST");
                testBed.targets().get(1).close();
            }
            int owner = i % callerAddresses.size();
            // Every third job is sent to an entry host that does not own its session.
            int entry = i % 3 == 0 ? (owner + 1) % callerAddresses.size() : owner;
            answers.add(caller.submit(
                    callerAddresses.get(entry), sessions.get(owner), i / callerAddresses.size(), job, DEADLINE));
            Uninterruptibles.sleepUninterruptibly(SUBMIT_INTERVAL);
        }
        printLine("waiting for the last answers");
        return answers.stream().map(CompletableFuture::join).toList();
    }

    private static int checkAnswers(TestBed testBed, List<VerdictDocument> verdicts) {
        Map<Reason, Integer> counts = new EnumMap<>(Reason.class);
        verdicts.forEach(verdict -> counts.merge(verdict.reason(), 1, Integer::sum));
        long starts = testBed.targets().stream()
                .mapToLong(target -> target.startsByTask().size())
                .sum();
        long repeated = testBed.repeatedStarts();
        long incomplete = verdicts.stream()
                .filter(verdict -> verdict.outcome() == Outcome.COMPLETE
                        && verdict.results().size() != TASKS_PER_JOB)
                .count();
        Table table = Table.of("what", "count");
        counts.forEach((reason, count) -> table.addRow("jobs answered " + reason, count));
        table.addRow("tasks started", starts)
                .addRow("tasks started twice", repeated)
                .addRow("complete answers that lack a result", incomplete);
        System.out.println();
        System.out.println(table);
        boolean onlyExpectedReasons =
                ImmutableSet.of(Reason.OK, Reason.TARGET_LOST).containsAll(counts.keySet());
        boolean passed = repeated == 0 && incomplete == 0 && onlyExpectedReasons;
        printLine(
                passed
                        ? "passed: no task started twice and every complete answer has all results"
                        : "FAILED: see the table above");
        return passed ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void printLine(String line) {
        System.out.println("demo: " + line);
    }
}
