import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A runner crashes and starts again under its id as another kind, while clients send jobs that require the first kind. */
final class RestartedRunner {
    private static final String REQUIRED_KIND = "a";
    private static final String OTHER_KIND = "b";
    private static final int CRASHES = 12;
    private static final long JOB_INTERVAL_MS = 22;
    private static final long WORK_MS = 200;

    private RestartedRunner() {}

    public static void main(String[] arguments) {
        Case.main(arguments, RestartedRunner::run);
    }

    private static List<String> run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Deployment.Host host = deployment.addHost("edge-balanza-1", "balanza");
        deployment.addHost("edge-galpon-1", "galpon");
        List<Runner> runners = new ArrayList<>();
        for (String zone : List.of("balanza", "galpon")) {
            for (int i = 1; i <= 4; i++) {
                runners.add(deployment.addRunner(zone + "-r" + i, zone, 32_000, List.of(REQUIRED_KIND, "r1-" + i)));
            }
        }
        deployment.startHosts();
        if (!deployment.awaitService()) {
            throw new Case.NotRun("the deployment did not come into service");
        }
        Runner changing = runners.get(0);
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int i = 0; i < CRASHES; i++) {
            boolean becomesOther = i % 2 == 0;
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2_400);
            long crashNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(600);
            long restartNanos = crashNanos + TimeUnit.MILLISECONDS.toNanos(500);
            boolean crashed = !trouble;
            boolean restarted = !trouble;
            while (System.nanoTime() < untilNanos) {
                if (!crashed && System.nanoTime() > crashNanos) {
                    record.line(changing.id + " crashes");
                    changing.crash();
                    crashed = true;
                }
                if (!restarted && System.nanoTime() > restartNanos) {
                    changing.beginAgain(List.of(becomesOther ? OTHER_KIND : REQUIRED_KIND, "r1-1"));
                    deployment.publish(changing);
                    record.line(changing.id + " starts again, and its entry with the labels "
                            + (becomesOther ? OTHER_KIND : REQUIRED_KIND) + " is stored");
                    changing.listen();
                    restarted = true;
                }
                clients.execute(() -> submit(host));
                Thread.sleep(JOB_INTERVAL_MS);
            }
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        List<String> breaches = new ArrayList<>();
        for (Runner.Run run : record.runs()) {
            if (!run.labels.contains(REQUIRED_KIND)) {
                breaches.add(String.format(
                        java.util.Locale.ROOT,
                        "%.3f s: task %s, which requires '%s', starts on %s with the labels %s",
                        record.seconds(run.startNanos),
                        run.task,
                        REQUIRED_KIND,
                        run.runner,
                        run.labels));
            }
        }
        return breaches;
    }

    private static void submit(Deployment.Host host) {
        String id = Client.newId();
        try (Client client = host.connect()) {
            client.send(id, Client.job(2, 14_000, WORK_MS, REQUIRED_KIND), Deployment.DEADLINE_MS);
            client.await(id, Deployment.DEADLINE_MS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
