package org.mustardlink.config.replica;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.mustardlink.config.records.ConfigState;

class ReplicaPropertyTest {
    private static final int HOSTS = 4;
    private static final int OPERATIONS = 250;

    /**
     * Guards against a host whose final state differs from the log, or that serves an older configuration than all hosts
     * already had, after any interleaving of changes, snapshots, expiry, outages and restarts.
     */
    @Property(tries = 150, seed = "20261204")
    void every_interleaving_converges_to_one_state_and_no_offset_decreases(
            @ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        FakeLog log = new FakeLog();
        FakeHosts hosts = new FakeHosts(log, HOSTS);
        long acknowledged = 0;
        for (int i = 0; i < OPERATIONS; i++) {
            performRandomOperation(random, log, hosts, i);
            acknowledged = Math.max(acknowledged, offsetHeldByAll(hosts));
            for (FakeHosts.Host host : hosts.hosts()) {
                assertThat(host.servedOffsets()).isInOrder();
                if (host.replica().isReady()) {
                    assertWithMessage("operation %s", i)
                            .that(host.replica().offset())
                            .isAtLeast(acknowledged);
                }
            }
        }
        log.setDown(false);
        ConfigState expected = ConfigState.empty().apply(log.records(ConfigReader.CONFIG_STREAM));
        for (int i = 0; i < 40; i++) {
            hosts.hosts().forEach(host -> host.runSteps(5));
        }
        for (FakeHosts.Host host : hosts.hosts()) {
            assertThat(host.replica().state()).isEqualTo(expected);
            assertThat(host.replica().isReady()).isTrue();
        }
    }

    private static void performRandomOperation(Random random, FakeLog log, FakeHosts hosts, int number) {
        int host = random.nextInt(HOSTS);
        int choice = random.nextInt(100);
        if (choice < 30) {
            Object _appended = log.append(ConfigReader.CONFIG_STREAM, ImmutableList.of(randomRecord(random, number)));
        } else if (choice < 85) {
            hosts.host(host).runSteps(1 + random.nextInt(6));
        } else if (choice < 90) {
            hosts.restart(host);
        } else if (choice < 95) {
            log.setDown(random.nextBoolean());
        } else {
            expireCoveredRecords(random, log);
        }
    }

    private static String randomRecord(Random random, int number) {
        if (random.nextInt(10) == 0) {
            return "{\"schema\":";
        }
        int name = random.nextInt(5);
        String base = random.nextBoolean() ? "" : ",\"base\":" + random.nextInt(number + 1);
        String body = random.nextInt(5) == 0 ? "null" : "{\"quota\":" + (random.nextInt(9) - 1) + ",\"weight\":1.5}";
        String requires = random.nextInt(4) == 0 ? ",\"requires\":[\"f\"]" : "";
        return "{\"schema\":%d,\"change\":\"c%d\",\"kind\":\"team\",\"name\":\"t%d\"%s%s,\"body\":%s}"
                .formatted(1 + random.nextInt(3), random.nextInt(200), name, base, requires, body);
    }

    /** Expires only records that a snapshot includes, as a log with a sufficient retention does. */
    private static void expireCoveredRecords(Random random, FakeLog log) {
        List<String> snapshots = log.records(ConfigReader.SNAPSHOT_STREAM);
        long covered = snapshots.stream()
                .map(org.mustardlink.config.records.Snapshots::read)
                .map(ConfigState::offset)
                .max(Comparator.naturalOrder())
                .orElse(0L);
        if (covered > 0) {
            log.expire(ConfigReader.CONFIG_STREAM, covered - random.nextInt((int) covered));
        }
    }

    private static long offsetHeldByAll(FakeHosts hosts) {
        boolean allReady =
                hosts.hosts().stream().allMatch(host -> host.replica().isReady());
        return allReady
                ? hosts.hosts().stream()
                        .mapToLong(host -> host.replica().offset())
                        .min()
                        .orElse(0)
                : 0;
    }
}
