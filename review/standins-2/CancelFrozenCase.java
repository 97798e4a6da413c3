import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.platform.standin.StandInDocuments;

/** A job is cancelled through another host while its own host is frozen. */
final class CancelFrozenCase {
    private static final int CANCEL_MS = 3_000;
    private static final int CONTACT_MS = 3_000;
    private static final int FREEZE_MS = 900;
    private static final int DELETE_AFTER_MS = 700;
    private static final int DEADLINE_MS = 12_000;
    private static final String JOB = "5c0e7a21d94b36f8";

    private CancelFrozenCase() {}

    public static void main(String[] arguments) throws Exception {
        java.util.logging.LogManager.getLogManager().reset();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review");
        int status = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"));
                Deployment deployment = Deployment.start(
                        record,
                        temporary,
                        List.of("north", "north", "south", "south", "south", "west", "west"),
                        List.of("north", "north", "south", "west"),
                        2)) {
            status = run(record, deployment, trouble);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
        Record.sleepMs(3_000);
        Deployment.Host entry = deployment.masterOf("yard/north");
        Deployment.Host other = deployment.hosts().get(0) == entry
                ? deployment.hosts().get(1)
                : deployment.hosts().get(0);
        record.line("POST " + JOB + " at " + entry.id + ", the master of yard/north: 24 tasks of 1 s, 4 at once");
        CompletableFuture<Client.Response> job = CompletableFuture.supplyAsync(() -> Client.post(
                entry.callerPort, Deployment.PATH_PREFIX + JOB, StandInDocuments.job(24, 1_000), DEADLINE_MS));
        Record.sleepMs(500);
        if (trouble) {
            entry.signal("STOP");
            record.line(entry.id + " is frozen");
        }
        long frozenNanos = System.nanoTime();
        Record.sleepMs(DELETE_AFTER_MS);
        record.line("DELETE " + JOB + " at " + other.id);
        CompletableFuture<Client.Response> delete = CompletableFuture.supplyAsync(
                () -> Client.delete(other.callerPort, Deployment.PATH_PREFIX + JOB, 4_000));
        delete.thenAccept(response -> record.line("DELETE answered: " + response));
        CompletableFuture<Long> acknowledged = delete.thenApply(response -> System.nanoTime());
        long elapsedMs = (System.nanoTime() - frozenNanos) / 1_000_000;
        Record.sleepMs(Math.max(0, FREEZE_MS - elapsedMs));
        if (trouble) {
            entry.signal("CONT");
            record.line(entry.id + " wakes");
        }
        long wokenNanos = trouble ? System.nanoTime() : 0;
        record.line("POST answered: " + job.get());
        Record.sleepMs(500);
        int status = delete.get().status();
        long fromNanos =
                Math.max(acknowledged.get() + CANCEL_MS * 1_000_000L, wokenNanos + CONTACT_MS * 1_000_000L);
        long late = record.runs().stream()
                .filter(run -> run.startNanos > fromNanos)
                .count();
        boolean isAcknowledged = status == 410 || status / 100 == 2;
        record.line("acknowledged: " + isAcknowledged + "; starts later than " + CANCEL_MS + " ms after it, and than "
                + CONTACT_MS + " ms after the freeze: " + late);
        return isAcknowledged && late > 0 ? 1 : 0;
    }
}
