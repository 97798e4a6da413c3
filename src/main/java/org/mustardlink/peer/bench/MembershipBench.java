package org.mustardlink.peer.bench;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.Uninterruptibles;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.mustardlink.membership.MemberState;

/** Measures the cost of the membership and its detection times at one number of hosts. */
public final class MembershipBench implements AutoCloseable {
    private static final Duration IDLE_MEASUREMENT = Duration.ofSeconds(15);
    /** The records of 45 starting hosts are disseminated for about 15 s; idle traffic is measured only after that. */
    private static final Duration WARM_UP = Duration.ofSeconds(25);

    private static final Duration DELAY_BEFORE_JOIN = Duration.ofSeconds(8);
    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(2);
    private static final int REPETITIONS = 3;

    private final int domains;
    private final List<MemberHost> hosts = new ArrayList<>();
    private long startedHosts;

    private MembershipBench(int domains) {
        this.domains = domains;
    }

    /**
     * The result of a benchmark.
     *
     * @param hosts number of hosts
     * @param sentBytesPerSecond bytes that a host sends per second while no host changes its state; it receives as
     *     many
     * @param callsPerSecond calls that a host starts per second
     * @param cpuShare share of a CPU core that a host uses
     * @param killMs time until another host has detected a killed host; one value per host, in milliseconds
     * @param leaveMs time until another host has seen a planned leave, in milliseconds
     * @param joinMs time until another host has seen a joining host, in milliseconds
     */
    public record Result(
            int hosts,
            double sentBytesPerSecond,
            double callsPerSecond,
            double cpuShare,
            Histogram killMs,
            Histogram leaveMs,
            Histogram joinMs) {}

    /** Runs the benchmark once, which takes about a minute. */
    public static Result run(int hosts, int domains) {
        try (MembershipBench bench = new MembershipBench(domains)) {
            return bench.measure(hosts);
        }
    }

    @Override
    public void close() {
        hosts.forEach(MemberHost::close);
    }

    private Result measure(int hostCount) {
        for (int i = 0; i < hostCount; i++) {
            hosts.add(startHost());
        }
        awaitOnAllHosts(
                host -> hosts.stream().allMatch(other -> host.sees(other, MemberState.ALIVE)), new Histogram(2));
        Uninterruptibles.sleepUninterruptibly(WARM_UP);
        long bytesBefore = hosts.stream()
                .mapToLong(host -> host.client().transferredBytes())
                .sum();
        long callsBefore =
                hosts.stream().mapToLong(host -> host.client().startedCalls()).sum();
        long cpuNanosBefore = cpuNanos();
        Uninterruptibles.sleepUninterruptibly(IDLE_MEASUREMENT);
        double hostSeconds = (double) hostCount * IDLE_MEASUREMENT.toSeconds();
        double cpuShare = (cpuNanos() - cpuNanosBefore) / 1e9 / hostSeconds;
        // Only the calling side counts the bytes of a call, so each byte is counted once though one host sends it and
        // another receives it.
        double sentBytesPerSecond = (hosts.stream()
                                .mapToLong(host -> host.client().transferredBytes())
                                .sum()
                        - bytesBefore)
                / hostSeconds;
        double callsPerSecond =
                (hosts.stream().mapToLong(host -> host.client().startedCalls()).sum() - callsBefore) / hostSeconds;
        Histogram killMs = new Histogram(2);
        Histogram leaveMs = new Histogram(2);
        Histogram joinMs = new Histogram(2);
        for (int i = 0; i < REPETITIONS; i++) {
            measureLeave(leaveMs);
            measureKill(killMs);
            measureJoin(joinMs);
        }
        return new Result(hostCount, sentBytesPerSecond, callsPerSecond, cpuShare, killMs, leaveMs, joinMs);
    }

    private MemberHost startHost() {
        String domain = "domain" + startedHosts % domains;
        ImmutableSet<String> seeds =
                hosts.stream().limit(2).map(MemberHost::address).collect(ImmutableSet.toImmutableSet());
        return MemberHost.start(
                MemberHost.HostOptions.onFreePort("host" + startedHosts, domain, 1000 + startedHosts++), seeds);
    }

    private void measureLeave(Histogram timesMs) {
        MemberHost leavingHost = hosts.get(hosts.size() / 2);
        CompletableFuture<Void> _announced = leavingHost.membership().announceLeave(Optional.empty());
        awaitOnAllHosts(host -> host.sees(leavingHost, MemberState.LEAVING), timesMs);
    }

    /**
     * Stops the host that has announced its leave, then kills another host. The host started here and the one that joins
     * afterwards replace them, so the number of hosts stays the same.
     */
    private void measureKill(Histogram timesMs) {
        MemberHost leavingHost = hosts.remove(hosts.size() / 2);
        leavingHost.close();
        MemberHost killedHost = hosts.remove(hosts.size() / 3);
        killedHost.close();
        awaitOnAllHosts(host -> host.sees(killedHost, MemberState.GONE), timesMs);
        hosts.add(startHost());
    }

    private void measureJoin(Histogram timesMs) {
        Uninterruptibles.sleepUninterruptibly(DELAY_BEFORE_JOIN);
        MemberHost joiningHost = startHost();
        awaitOnAllHosts(host -> host.sees(joiningHost, MemberState.ALIVE), timesMs);
        hosts.add(joiningHost);
        Uninterruptibles.sleepUninterruptibly(Duration.ofSeconds(2));
    }

    /** Waits until every host fulfils the condition, and records how long each host took. */
    private void awaitOnAllHosts(Predicate<MemberHost> condition, Histogram timesMs) {
        long startNanos = System.nanoTime();
        List<MemberHost> waiting = new ArrayList<>(hosts);
        while (!waiting.isEmpty()) {
            long elapsedNanos = System.nanoTime() - startNanos;
            checkState(
                    elapsedNanos < WAIT_TIMEOUT.toNanos(),
                    "%s hosts did not observe the change within %s",
                    waiting.size(),
                    WAIT_TIMEOUT);
            waiting.removeIf(host -> {
                boolean isFulfilled = condition.test(host);
                if (isFulfilled) {
                    timesMs.recordValue(elapsedNanos / 1_000_000);
                }
                return isFulfilled;
            });
            Uninterruptibles.sleepUninterruptibly(POLL_INTERVAL);
        }
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }
}
