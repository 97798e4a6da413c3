import java.io.IOException;
import java.util.List;

/**
 * A start gets no response and is carried out late, by the next life of a runner that has been cut off and has crashed
 * since. Meanwhile the client has sent its job again through another zone.
 */
final class LateStart {
    private static final long WORK_MS = 1_300;
    /** Delay of the start; the pages allow 2 to 12 s. */
    private static final long LATE_MS = 3_300;
    private static final long CRASH_AFTER_MS = 400;
    private static final long DOWN_MS = 1_000;
    private static final long CUT_MS = 5_000;

    private LateStart() {}

    public static void main(String[] arguments) {
        Case.main(arguments, LateStart::run);
    }

    private static List<String> run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Deployment.Host entry = deployment.addHost("edge-balanza-1", "balanza");
        Deployment.Host other = deployment.addHost("edge-galpon-1", "galpon");
        Runner runner = deployment.addRunner("balanza-r1", "balanza", 32_000, List.of("a", "r1-1"));
        for (int i = 1; i <= 5; i++) {
            deployment.addRunner("galpon-r" + i, "galpon", 32_000, List.of("a", "r2-" + i));
        }
        deployment.startHosts();
        if (!deployment.awaitService()) {
            throw new Case.NotRun("the deployment did not come into service");
        }
        if (trouble) {
            runner.delayNextStart(LATE_MS);
        }
        // Other jobs, so that the one late order is a small share of all orders.
        Thread traffic = new Thread(() -> sendShortJobs(other));
        traffic.setDaemon(true);
        traffic.start();
        Thread client = new Thread(() -> submit(entry, other));
        client.start();
        if (trouble) {
            long untilNanos = System.nanoTime() + 1_000_000_000L;
            while (!runner.hasDelayedStart()) {
                if (System.nanoTime() > untilNanos) {
                    throw new Case.NotRun("the job wasn't started on the runner");
                }
                Thread.sleep(1);
            }
            record.line(runner.id + " is cut off");
            runner.setCut(true);
            Thread.sleep(CRASH_AFTER_MS);
            record.line(runner.id + " crashes");
            runner.crash();
            Thread.sleep(DOWN_MS);
            runner.beginAgain(List.of("a", "r1-1"));
            deployment.publish(runner);
            runner.listen();
            record.line(runner.id + " starts again");
            Thread.sleep(CUT_MS - CRASH_AFTER_MS - DOWN_MS);
            runner.setCut(false);
            record.line(runner.id + " is no longer cut off");
        }
        client.join();
        Thread.sleep(2_000);
        return record.overlaps();
    }

    private static void sendShortJobs(Deployment.Host host) {
        try (Client client = host.connect()) {
            while (true) {
                String id = Client.newId();
                client.send(id, Client.job(1, 4_000, 60, ""), Deployment.DEADLINE_MS);
                client.await(id, Deployment.DEADLINE_MS);
            }
        } catch (IOException e) {
            // The deployment has been closed.
        }
    }

    private static void submit(Deployment.Host entry, Deployment.Host other) {
        String id = Client.newId();
        String job = Client.job(1, 14_000, WORK_MS, "");
        try {
            try (Client first = entry.connect()) {
                first.send(id, job, Deployment.DEADLINE_MS);
                int status = first.await(id, Deployment.DEADLINE_MS);
                if (status != 504 && status != 502 && status > 0) {
                    return;
                }
            }
            Thread.sleep(Deployment.RESEND_MS);
            try (Client again = other.connect()) {
                again.send(id, job, Deployment.DEADLINE_MS);
                again.await(id, Deployment.DEADLINE_MS + 100);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
