import java.nio.charset.StandardCharsets;
import java.util.List;
import org.mustardlink.exercise.FaultInjectingProxy;

/** Connections of an entry host are reset: that of a client, and those between the host and the master of its pool. */
final class ResetEntryHost {
    /** Work of a task; it ends before the deadline of its client. */
    private static final long WORK_MS = 1_420;

    private static final int ROUNDS = 4;

    private ResetEntryHost() {}

    public static void main(String[] arguments) {
        Case.main(arguments, ResetEntryHost::run);
    }

    private static List<String> run(Deployment deployment, Record record, boolean trouble) throws Exception {
        Deployment.Host first = deployment.addHost("edge-balanza-1", "balanza");
        Deployment.Host second = deployment.addHost("edge-balanza-2", "balanza");
        Deployment.Host other = deployment.addHost("edge-galpon-1", "galpon");
        for (String zone : List.of("balanza", "galpon")) {
            deployment.addRunner(zone + "-r1", zone, 32_000, List.of("a", "r1-1"));
            deployment.addRunner(zone + "-r2", zone, 32_000, List.of("a", "r1-1"));
        }
        List<FaultInjectingProxy> proxies = List.of(connect(first, second), connect(second, first));
        // A host's first message to another one holds its address, to which that one then connects.
        proxies.get(0).rewriteFirstBytes(bytes -> replace(bytes, first, proxies.get(1)));
        proxies.get(1).rewriteFirstBytes(bytes -> replace(bytes, second, proxies.get(0)));
        deployment.startHosts();
        if (!deployment.awaitService()) {
            throw new Case.NotRun("the deployment did not come into service");
        }
        for (int i = 0; i < ROUNDS; i++) {
            Deployment.Host master =
                    deployment.master("balanza").orElseThrow(() -> new Case.NotRun("the zone has no master"));
            Deployment.Host entry = master == first ? second : first;
            submit(entry, other, proxies, record, trouble);
            // The next reset comes after contactMs and after all that runs has ended.
            Thread.sleep(5_000);
        }
        return record.overlaps();
    }

    /** Starts a proxy for the connections that one host opens to another. */
    private static FaultInjectingProxy connect(Deployment.Host from, Deployment.Host to) throws Exception {
        FaultInjectingProxy proxy = FaultInjectingProxy.start(to.peer);
        String address = Deployment.text(to.peer);
        String proxied = Deployment.text(proxy.address());
        from.readStoreThrough(text -> text.replace(address, proxied));
        return proxy;
    }

    private static byte[] replace(byte[] bytes, Deployment.Host host, FaultInjectingProxy proxy) {
        // Both ports have five digits, so the lengths in the message stay valid.
        return new String(bytes, StandardCharsets.ISO_8859_1)
                .replace(Deployment.text(host.peer), Deployment.text(proxy.address()))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a job, resets connections once it has started, and sends it again to another host as clients do. */
    private static void submit(
            Deployment.Host entry,
            Deployment.Host other,
            List<FaultInjectingProxy> proxies,
            Record record,
            boolean trouble)
            throws Exception {
        String id = Client.newId();
        String job = Client.job(2, 14_000, WORK_MS, "");
        try (Client client = entry.connect()) {
            client.send(id, job, Deployment.DEADLINE_MS);
            while (trouble && record.startedRuns(id) < 2) {
                Thread.sleep(1);
            }
            if (trouble) {
                record.line("connections of " + entry.id + " are reset");
                proxies.forEach(FaultInjectingProxy::resetOpenConnections);
                client.reset();
            }
            if (client.await(id, Deployment.DEADLINE_MS) > 0) {
                return;
            }
        }
        Thread.sleep(Deployment.RESEND_MS);
        try (Client again = other.connect()) {
            again.send(id, job, Deployment.DEADLINE_MS);
            again.await(id, Deployment.DEADLINE_MS + 100);
        }
    }
}
