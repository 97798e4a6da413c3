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
import org.mustardlink.http.HttpRequester;
import org.mustardlink.standin.StandInTarget;
import org.mustardlink.standin.TestBed;

/** {@code demo}: runs a whole deployment in one process, with a drain and a killed target, and checks every answer. */
final class DemoCommand implements Subcommand {
    private static final int JOBS = 300;
    private static final int TASKS = 5;
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final Duration PACE = Duration.ofMillis(10);

    @Override
    public void register(Subparsers parsers) {
        Subparser parser =
                parsers.addParser("demo").help("run a whole deployment in this process and check its answers");
        parser.setDefault(Main.COMMAND, this);
    }

    @Override
    public int run(Namespace _arguments) {
        try (TestBed bed = TestBed.start(TestBed.Shape.demo());
                HttpRequester requester = HttpRequester.start(
                        new HttpRequester.Limits(256, 1024, Duration.ofSeconds(2), Duration.ofSeconds(30), 1))) {
            return report(bed, drive(bed, new CallerClient(requester)));
        }
    }

    private static List<VerdictDocument> drive(TestBed bed, CallerClient caller) {
        ImmutableList<InetSocketAddress> entries = bed.callerAddresses();
        List<String> sessions =
                entries.stream().map(entry -> caller.openSession(entry).join()).toList();
        ImmutableMap<String, Object> task =
                ImmutableMap.of("payload", "{\"runMs\":100,\"answer\":\"ok\"}", "declaredMs", 100);
        ImmutableMap<String, Object> job =
                ImmutableMap.of("service", TestBed.SERVICE, "team", "demo", "tasks", Collections.nCopies(TASKS, task));
        List<CompletableFuture<VerdictDocument>> answers = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            if (i == JOBS / 3) {
                bed.targets().get(0).switchTo(StandInTarget.Mode.DRAINING);
            }
            if (i == 2 * JOBS / 3) {
                bed.targets().get(1).close();
            }
            int host = i % entries.size();
            // Every third job goes in at another entry host than its session's owner.
            int entry = i % 3 == 0 ? (host + 1) % entries.size() : host;
            answers.add(caller.submit(entries.get(entry), sessions.get(host), i / entries.size(), job, DEADLINE));
            Uninterruptibles.sleepUninterruptibly(PACE);
        }
        return answers.stream().map(CompletableFuture::join).toList();
    }

    private static int report(TestBed bed, List<VerdictDocument> verdicts) {
        Map<Reason, Integer> counts = new EnumMap<>(Reason.class);
        verdicts.forEach(verdict -> counts.merge(verdict.reason(), 1, Integer::sum));
        System.out.printf("%-24s %8s%n", "verdict", "jobs");
        counts.forEach((reason, count) -> System.out.printf("%-24s %8d%n", reason, count));
        long starts = bed.targets().stream()
                .mapToLong(target -> target.starts().size())
                .sum();
        long repeated = bed.repeatedStarts();
        long partial = verdicts.stream()
                .filter(verdict -> verdict.outcome() == Outcome.COMPLETE
                        && verdict.results().size() != TASKS)
                .count();
        System.out.printf("%-24s %8d%n", "tasks started", starts);
        System.out.printf("%-24s %8d%n", "tasks started twice", repeated);
        System.out.printf("%-24s %8d%n", "partial answers", partial);
        boolean truthful = ImmutableSet.of(Reason.OK, Reason.TARGET_LOST).containsAll(counts.keySet());
        return repeated == 0 && partial == 0 && truthful ? ExitCode.OK : ExitCode.FAILED;
    }
}
