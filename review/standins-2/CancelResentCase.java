import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.platform.standin.StandInDocuments;

/** A job is cancelled while its caller waits, and the caller sends it again as the answer asks. */
final class CancelResentCase {
    private static final int CANCEL_MS = 3_000;
    private static final int RESEND_MS = 1_300;
    private static final int DEADLINE_MS = 12_000;
    private static final String JOB = "5c0e7a21d94b36f8";

    private CancelResentCase() {}

    public static void main(String[] arguments) throws Exception {
        java.util.logging.LogManager.getLogManager().reset();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review");
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = Deployment.start(
                        record, temporary, List.of("north", "north", "south"), List.of("north", "north", "south"), 2)) {
            status = run(record, deployment, trouble);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
        Record.sleepMs(3_000);
        List<CompletableFuture<Void>> others = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            others.add(submit(record, deployment.hosts().get(2), String.format("%016x", i), 1, 100));
        }
        CompletableFuture<Void> job = submit(record, deployment.hosts().get(0), JOB, 24, 1_000);
        Record.sleepMs(700);
        long acknowledgedNanos = Long.MAX_VALUE;
        if (trouble) {
            record.line("DELETE " + JOB + " at host-1");
            Client.Response cancelled =
                    Client.delete(deployment.hosts().get(1).callerPort, Deployment.PATH_PREFIX + JOB, 4_000);
            boolean acknowledged = cancelled.status() == 410 || cancelled.status() / 100 == 2;
            acknowledgedNanos = acknowledged ? System.nanoTime() : Long.MAX_VALUE;
            record.line("DELETE answered: " + cancelled);
        }
        job.get();
        for (CompletableFuture<Void> other : others) {
            other.get();
        }
        Record.sleepMs(500);
        long fromNanos =
                acknowledgedNanos == Long.MAX_VALUE ? Long.MAX_VALUE : acknowledgedNanos + CANCEL_MS * 1_000_000L;
        long late = record.runs().stream()
                .filter(run -> run.task.startsWith(JOB) && run.startNanos > fromNanos)
                .count();
        record.line("starts later than " + CANCEL_MS + " ms after the DELETE was acknowledged: " + late);
        return late > 0 ? 1 : 0;
    }

    /** Hands a job in, and sends it again, three times at most, as long as the answer asks for it. */
    private static CompletableFuture<Void> submit(
            Record record, Deployment.Host host, String job, int tasks, int taskMs) {
        return CompletableFuture.runAsync(() -> {
            boolean again = true;
            for (int attempt = 1; attempt <= 3 && again; attempt++) {
                if (attempt > 1) {
                    sleepBeforeNextAttempt();
                }
                record.line("POST " + job + " at " + host.id + ": " + tasks + " tasks of " + taskMs + " ms");
                Client.Response response = Client.post(
                        host.callerPort,
                        Deployment.PATH_PREFIX + job,
                        StandInDocuments.job(tasks, taskMs),
                        DEADLINE_MS);
                record.line("POST " + job + " answered: " + response);
                again = response.status() <= 0 || response.status() == 502 || response.status() == 504;
            }
        });
    }

    private static void sleepBeforeNextAttempt() {
        try {
            Record.sleepMs(RESEND_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
