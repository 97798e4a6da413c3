import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A machine was taken away for good, as planned. Later the process of another machine is killed and restarted, and a client
 * whose connection broke with it sends its job again to a third one.
 */
final class KilledMaster {
    private static final long WORK_MS = 1_420;
    private static final long RESTART_DELAY_MS = 50;
    private static final int ROUNDS = 6;
    private static volatile boolean done;

    private KilledMaster() {}

    public static void main(String[] arguments) {
        Case.main(arguments, KilledMaster::run);
    }

    private static List<String> run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Deployment.Host killed = deployment.addHost("edge-balanza-1", "balanza");
        Deployment.Host other = deployment.addHost("edge-galpon-1", "galpon");
        Deployment.Host lost = deployment.addHost("edge-oficina-1", "oficina");
        for (String zone : List.of("balanza", "galpon")) {
            deployment.addRunner(zone + "-r1", zone, 64_000, List.of("a", "r1-1"));
            deployment.addRunner(zone + "-r2", zone, 64_000, List.of("a", "r1-1"));
        }
        deployment.startHosts();
        if (!deployment.awaitService()) {
            throw new Case.NotRun("the deployment did not come into service");
        }
        if (trouble) {
            lost.leaveForGood();
        }
        Thread.sleep(5_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        Thread traffic = new Thread(() -> {
            try {
                while (!done) {
                    clients.execute(() -> submitShort(killed));
                    Thread.sleep(40);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        traffic.start();
        for (int i = 0; i < ROUNDS; i++) {
            Thread.sleep(6_000);
            String id = Client.newId();
            String job = Client.job(2, 14_000, WORK_MS, "");
            int status;
            try (Client client = killed.connect()) {
                client.send(id, job, Deployment.DEADLINE_MS);
                while (record.startedRuns(id) < 2) {
                    Thread.sleep(1);
                }
                if (trouble) {
                    killed.kill();
                }
                status = client.await(id, Deployment.DEADLINE_MS);
            }
            if (trouble) {
                Thread.sleep(RESTART_DELAY_MS);
                killed.start();
            }
            if (status <= 0) {
                Thread.sleep(Deployment.RESEND_MS - (trouble ? RESTART_DELAY_MS : 0));
                try (Client again = other.connect()) {
                    again.send(id, job, Deployment.DEADLINE_MS);
                    again.await(id, Deployment.DEADLINE_MS + 100);
                }
            }
        }
        done = true;
        traffic.join();
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        return record.overlaps();
    }

    private static void submitShort(Deployment.Host host) {
        String id = Client.newId();
        try (Client client = host.connect()) {
            client.send(id, Client.job(2, 4_000, 60, ""), Deployment.DEADLINE_MS);
            client.await(id, Deployment.DEADLINE_MS);
        } catch (java.io.IOException e) {
            // The host is down; the client would try another one.
        }
    }
}
