import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.platform.standin.StandInDocuments;

/** A runner crashes and starts again under its id while its lists of runs reach the hosts late. */
final class RestartCase {
    private static final int ROUNDS = 20;
    private static final int DEADLINE_MS = 1_500;
    private static final int DELAY_MS = 150;
    private static final int DOWN_MS = 50;

    private RestartCase() {}

    public static void main(String[] arguments) throws Exception {
        java.util.logging.LogManager.getLogManager().reset();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review");
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            Map<Runner, String> runners = new LinkedHashMap<>();
            for (int i = 0; i < 8; i++) {
                Runner.Kind kind = new Runner.Kind(i == 0 ? 4_000 : 8_000, 4_096, List.of("a"));
                runners.put(new Runner("runner-" + i, kind, record), i < 4 ? "north" : "south");
            }
            Runner crashing = runners.keySet().iterator().next();
            try (Deployment deployment = new Deployment(
                    record, temporary, List.of("north", "north", "south"), runners, List.of(crashing))) {
                status = run(record, deployment, crashing, trouble);
            }
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    private static int run(Record record, Deployment deployment, Runner crashing, boolean trouble) throws Exception {
        Record.sleepMs(3_000);
        if (trouble) {
            deployment.pathsTo(crashing).forEach(relay -> relay.delayAnswers("\"running\"", DELAY_MS));
            record.line("the lists of runs of " + crashing.id + " reach the hosts " + DELAY_MS + " ms late");
        }
        Deployment.Host host = deployment.masterOf("yard/north");
        for (int round = 1; round <= ROUNDS; round++) {
            Record.sleepMs(2_000);
            String first = String.format("%016x", 2 * round);
            String second = String.format("%016x", 2 * round + 1);
            CompletableFuture<Void> firstJob = submit(record, host, first, 1, 230, 300);
            awaitEnd(record, first);
            Record.sleepMs(10);
            if (trouble) {
                record.line("crash of " + crashing.id);
                crashing.crash();
                Record.sleepMs(DOWN_MS);
                crashing.restart(crashing.kind());
                record.line("restart of " + crashing.id);
                deployment.writeEntry(crashing, "north");
            } else {
                Record.sleepMs(DOWN_MS);
            }
            Record.sleepMs(10);
            submit(record, host, second, 2, 400, 400).join();
            firstJob.join();
        }
        List<String> overlaps = record.overlaps();
        overlaps.forEach(overlap -> record.line("two runs at the same time: " + overlap));
        record.line("rounds: " + ROUNDS + "; tasks with two runs at the same time: " + overlaps.size());
        return overlaps.isEmpty() ? 0 : 1;
    }

    private static void awaitEnd(Record record, String job) throws InterruptedException {
        long untilNanos = System.nanoTime() + 3_000_000_000L;
        while (System.nanoTime() < untilNanos
                && record.runs().stream().noneMatch(run -> run.task.startsWith(job) && !run.end.isEmpty())) {
            Record.sleepMs(1);
        }
    }

    private static CompletableFuture<Void> submit(
            Record record, Deployment.Host host, String job, int tasks, int taskMs, int estimateMs) {
        record.line("POST " + job + " at " + host.id + ": " + tasks + " tasks of " + taskMs + " ms");
        return CompletableFuture.runAsync(() -> record.line("POST " + job + " answered: "
                + Client.post(
                        host.callerPort,
                        Deployment.PATH_PREFIX + job,
                        StandInDocuments.job(tasks, estimateMs)
                                .replace("\"spec\":\"" + estimateMs, "\"spec\":\"" + taskMs),
                        DEADLINE_MS)));
    }
}
