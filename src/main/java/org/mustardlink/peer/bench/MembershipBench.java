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

/** One measurement at one number of hosts. */
public final class MembershipBench implements AutoCloseable {
    private static final Duration QUIET = Duration.ofSeconds(15);
    /** The records of 45 starting hosts are told for about 15 s; the quiet traffic is measured after that. */
    private static final Duration STARTED = Duration.ofSeconds(25);

    private static final Duration SETTLE = Duration.ofSeconds(8);
    private static final Duration LONGEST = Duration.ofSeconds(30);
    private static final Duration POLL = Duration.ofMillis(2);
    private static final int REPEATS = 3;

    private final int domains;
    private final List<MemberHost> hosts = new ArrayList<>();
    private long started;

    private MembershipBench(int domains) {
        this.domains = domains;
    }

    /**
     * What was measured.
     *
     * @param hosts number of hosts
     * @param sentBytesPerSecond bytes that a host sends each second while nothing changes; it receives as many
     * @param callsPerSecond calls that a host starts each second
     * @param cpuShare share of a core that a host takes
     * @param killMs time until a kill is known, over every other host
     * @param leaveMs time until a planned leave is known
     * @param joinMs time until a join is known
     */
    public record Result(
            int hosts,
            double sentBytesPerSecond,
            double callsPerSecond,
            double cpuShare,
            Histogram killMs,
            Histogram leaveMs,
            Histogram joinMs) {}

    /** Runs one measurement; it takes about a minute. */
    public static Result run(int hosts, int domains) {
        try (MembershipBench bench = new MembershipBench(domains)) {
            return bench.measure(hosts);
        }
    }

    @Override
    public void close() {
        hosts.forEach(MemberHost::close);
    }

    private Result measure(int count) {
        for (int i = 0; i < count; i++) {
            hosts.add(startHost());
        }
        await(host -> hosts.stream().allMatch(other -> host.sees(other, MemberState.ALIVE)), new Histogram(2));
        Uninterruptibles.sleepUninterruptibly(STARTED);
        long bytes = hosts.stream().mapToLong(host -> host.client().bytes()).sum();
        long calls = hosts.stream().mapToLong(host -> host.client().calls()).sum();
        long cpu = cpuNanos();
        Uninterruptibles.sleepUninterruptibly(QUIET);
        double hostSeconds = (double) count * QUIET.toSeconds();
        double cpuShare = (cpuNanos() - cpu) / 1e9 / hostSeconds;
        // Each byte of a call is counted once, by its caller; one host sends it and another receives it.
        double sent = (hosts.stream().mapToLong(host -> host.client().bytes()).sum() - bytes) / hostSeconds;
        double started =
                (hosts.stream().mapToLong(host -> host.client().calls()).sum() - calls) / hostSeconds;
        Histogram kill = new Histogram(2);
        Histogram leave = new Histogram(2);
        Histogram join = new Histogram(2);
        for (int i = 0; i < REPEATS; i++) {
            leave(leave);
            kill(kill);
            join(join);
        }
        return new Result(count, sent, started, cpuShare, kill, leave, join);
    }

    private MemberHost startHost() {
        String domain = "domain" + started % domains;
        ImmutableSet<String> seeds =
                hosts.stream().limit(2).map(MemberHost::address).collect(ImmutableSet.toImmutableSet());
        return MemberHost.start(MemberHost.Place.free("host" + started, domain, 1000 + started++), seeds);
    }

    private void leave(Histogram times) {
        MemberHost leaver = hosts.get(hosts.size() / 2);
        CompletableFuture<Void> _announced = leaver.membership().announceLeave(Optional.empty());
        await(host -> host.sees(leaver, MemberState.LEAVING), times);
    }

    /** Kills the host that has announced its leave last, so that the number of hosts stays the same. */
    private void kill(Histogram times) {
        MemberHost leaver = hosts.remove(hosts.size() / 2);
        leaver.close();
        MemberHost killed = hosts.remove(hosts.size() / 3);
        killed.close();
        await(host -> host.sees(killed, MemberState.GONE), times);
        hosts.add(startHost());
    }

    private void join(Histogram times) {
        Uninterruptibles.sleepUninterruptibly(SETTLE);
        MemberHost joiner = startHost();
        await(host -> host.sees(joiner, MemberState.ALIVE), times);
        hosts.add(joiner);
        Uninterruptibles.sleepUninterruptibly(Duration.ofSeconds(2));
    }

    /** Waits until every host fulfils the condition and records the time at which each did, in milliseconds. */
    private void await(Predicate<MemberHost> condition, Histogram times) {
        long start = System.nanoTime();
        List<MemberHost> waiting = new ArrayList<>(hosts);
        while (!waiting.isEmpty()) {
            long elapsed = System.nanoTime() - start;
            checkState(elapsed < LONGEST.toNanos(), "%s hosts do not know after %s", waiting.size(), LONGEST);
            waiting.removeIf(host -> {
                boolean knows = condition.test(host);
                if (knows) {
                    times.recordValue(elapsed / 1_000_000);
                }
                return knows;
            });
            Uninterruptibles.sleepUninterruptibly(POLL);
        }
    }

    private static long cpuNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }
}
