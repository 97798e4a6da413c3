import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.platform.standin.StandInDocuments;

/** A job is cancelled while the host that holds the connection of its caller is cut off from the other hosts. */
final class CancelAcknowledgedCase {
    private static final int CANCEL_MS = 3_000;
    private static final int CONTACT_MS = 3_000;
    private static final int CUT_MS = 1_400;
    private static final int DEADLINE_MS = 12_000;
    private static final String JOB = "5c0e7a21d94b36f8";

    private CancelAcknowledgedCase() {}

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
        Deployment.Host master = deployment.masterOf("yard/north");
        Deployment.Host entry = deployment.hosts().get(0) == master
                ? deployment.hosts().get(1)
                : deployment.hosts().get(0);
        record.line("master of yard/north: " + master.id);
        record.line("POST " + JOB + " at " + entry.id + ": 24 tasks of 1 s, 4 at once");
        CompletableFuture<Client.Response> job = CompletableFuture.supplyAsync(() -> Client.post(
                entry.callerPort, Deployment.PATH_PREFIX + JOB, StandInDocuments.job(24, 1_000), DEADLINE_MS));
        Record.sleepMs(500);
        long cutEndNanos = System.nanoTime();
        if (trouble) {
            deployment.cutOff(entry);
        }
        Record.sleepMs(200);
        record.line("DELETE " + JOB + " at " + master.id);
        Client.Response cancelled = Client.delete(master.callerPort, Deployment.PATH_PREFIX + JOB, 4_000);
        long acknowledgedNanos = System.nanoTime();
        record.line("DELETE answered: " + cancelled);
        Record.sleepMs(CUT_MS - 200);
        if (trouble) {
            deployment.reconnect(entry);
            cutEndNanos = System.nanoTime();
        }
        Client.Response answered = job.get();
        record.line("POST answered: " + answered);
        Record.sleepMs(500);
        boolean acknowledged = cancelled.status() == 410 || cancelled.status() / 100 == 2;
        long fromNanos =
                Math.max(acknowledgedNanos + CANCEL_MS * 1_000_000L, cutEndNanos + CONTACT_MS * 1_000_000L);
        long late = record.runs().stream()
                .filter(run -> run.startNanos > fromNanos)
                .count();
        record.line("acknowledged: " + acknowledged + "; starts later than " + CANCEL_MS + " ms after it, and than "
                + CONTACT_MS + " ms after the cut: " + late);
        return acknowledged && late > 0 ? 1 : 0;
    }
}
