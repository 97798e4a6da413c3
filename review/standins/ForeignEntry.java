import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Another writer stores an entry with a missing field and a field of another type, which names no runner to use. */
final class ForeignEntry {
    private static final int ENTRIES = 8;
    private static final long INTERVAL_MS = 4_000;
    private static final long JOB_INTERVAL_MS = 20;

    private ForeignEntry() {}

    public static void main(String[] arguments) {
        Case.main(arguments, ForeignEntry::run);
    }

    private static List<String> run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Deployment.Host host = deployment.addHost("edge-balanza-1", "balanza");
        deployment.addHost("edge-galpon-1", "galpon");
        for (String zone : List.of("balanza", "galpon")) {
            for (int i = 1; i <= 2; i++) {
                deployment.addRunner(zone + "-r" + i, zone, 32_000, List.of("a", "r1-" + i));
            }
        }
        Runner other = deployment.addRunner(
                "balanza-t1", Deployment.OTHER_SERVICE, "balanza", 32_000, List.of("a", "r1-3"));
        deployment.startHosts();
        if (!deployment.awaitService()) {
            throw new Case.NotRun("the deployment did not come into service");
        }
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int i = 0; i < ENTRIES; i++) {
            if (trouble) {
                Map<String, Object> entry = other.entryFields();
                entry.put("service", Deployment.SERVICE);
                entry.put("slots", "8");
                entry.remove("version");
                record.line("another writer stores an entry under the key " + other.id + ": " + Runner.write(entry));
                deployment.store.put("keyed.servers", other.id, Runner.write(entry));
            }
            long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(INTERVAL_MS);
            while (System.nanoTime() < untilNanos) {
                clients.execute(() -> submit(host));
                Thread.sleep(JOB_INTERVAL_MS);
            }
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        List<String> breaches = new ArrayList<>();
        for (Runner.Run run : record.runs()) {
            if (!run.service.equals(Deployment.SERVICE)) {
                breaches.add(String.format(
                        Locale.ROOT,
                        "%.3f s: task %s of a queue of the service %s starts on %s, a runner of the service %s",
                        record.seconds(run.startNanos),
                        run.task,
                        Deployment.SERVICE,
                        run.runner,
                        run.service));
            }
        }
        return breaches;
    }

    private static void submit(Deployment.Host host) {
        String id = Client.newId();
        try (Client client = host.connect()) {
            client.send(id, Client.job(2, 14_000, 60, ""), Deployment.DEADLINE_MS);
            client.await(id, Deployment.DEADLINE_MS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
