package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.exercise.FreePorts;
import org.mustardlink.link.IgnoringPeerListener;
import org.mustardlink.link.PeerLinks;
import org.mustardlink.link.PeerMessage;
import org.mustardlink.observe.EntryMetrics;
import org.mustardlink.observe.EventLog;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.ownership.NoOwnershipActions;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.pool.PoolId;

/** Tests which heartbeats a host sends, over real links. */
final class PeerMonitorTest {
    private static final int LINES_PER_SECOND = 10;
    private static final long MILLIS = 1_000_000;

    private final List<PeerMessage> received = new CopyOnWriteArrayList<>();
    private final HostInfo self = host("east-1", "east", 1);
    private final HostInfo master = host("west-1", "west", 2);
    private final AtomicBoolean connected = new AtomicBoolean();
    private PeerLinks links;
    private PeerLinks mastersLinks;
    private PoolOwnership ownership;
    private PeerMonitor monitor;

    private static HostInfo host(String id, String domain, long incarnation) {
        return new HostInfo(id, domain, incarnation, "127.0.0.1:" + FreePorts.next(), 750);
    }

    @BeforeEach
    void open() {
        long now = System.nanoTime();
        links = PeerLinks.start(self, new IgnoringPeerListener() {
            @Override
            public void onConnected(String _host) {
                connected.set(true);
            }
        });
        mastersLinks = PeerLinks.start(master, new Recording());
        ownership = new PoolOwnership(self, new NoOwnershipActions(), now);
        monitor = new PeerMonitor(
                self, ownership, EventLog.create("east-1", "east", LINES_PER_SECOND), EntryMetrics.create(1, 1), now);
        monitor.use(links);
        monitor.introduced(master, true, (_host, _now) -> {}, now);
        await().untilTrue(connected);
    }

    @AfterEach
    void close() {
        links.close();
        mastersLinks.close();
    }

    private static PeerMonitor.Status status() {
        return new PeerMonitor.Status(false, ImmutableMap.of());
    }

    private List<Duration> nextHeartbeats() {
        return received.stream()
                .filter(PeerMessage.Heartbeat.class::isInstance)
                .map(message -> ((PeerMessage.Heartbeat) message).untilNext())
                .toList();
    }

    /** Guards against a job that runs on beside its second try: its master learned too late how soon to miss its front. */
    @Test
    void a_master_knows_how_soon_to_expect_heartbeats_before_it_gets_a_job() {
        long now = System.nanoTime();
        monitor.connected(master.id(), now);
        monitor.tick(PeerMonitorTest::status, Set::of, (_host, _now) -> {}, now);
        await().until(() -> nextHeartbeats().size() == 1);
        assertThat(nextHeartbeats()).containsExactly(Duration.ofSeconds(10));

        monitor.announceFrequentHeartbeats(master.id(), PeerMonitorTest::status, now);
        links.send(master.id(), new PeerMessage.Cancel("job"));

        await().until(() -> received.stream().anyMatch(PeerMessage.Cancel.class::isInstance));
        assertThat(nextHeartbeats()).containsExactly(Duration.ofSeconds(10), Duration.ofMillis(300));
        monitor.announceFrequentHeartbeats(master.id(), PeerMonitorTest::status, now);
        links.send(master.id(), new PeerMessage.Cancel("other"));
        await().until(() -> received.contains(new PeerMessage.Cancel("other")));
        assertThat(nextHeartbeats()).hasSize(2);
    }

    private static PeerMessage.Heartbeat heartbeat(long number, long seen, long seenIncarnation, Claim... claims) {
        return new PeerMessage.Heartbeat(
                number,
                seen,
                seenIncarnation,
                Duration.ofMillis(100),
                false,
                ImmutableList.copyOf(claims),
                ImmutableMap.of());
    }

    private void tick(long now) {
        monitor.tick(PeerMonitorTest::status, Set::of, (_host, _now) -> {}, now);
    }

    private long introductions() {
        return received.stream().filter(PeerMessage.Hello.class::isInstance).count();
    }

    /** Guards against a handover that lasts two seconds more because the store was faster than the claim's announcement. */
    @Test
    void a_claim_that_was_read_from_the_store_is_confirmed_when_its_master_announces_it() {
        long now = System.nanoTime();
        tick(now);
        await().until(() -> nextHeartbeats().size() == 1);
        Claim claim = new Claim(new PoolId("yard", "west"), master.id(), master.incarnation(), 1);
        ownership.claimed(claim, now);

        assertWithMessage("the timers, which send the confirmation, have to run at once")
                .that(monitor.heard(master, heartbeat(1, 1, self.incarnation(), claim), now + MILLIS))
                .isTrue();
        tick(now + 2 * MILLIS);

        await().until(() -> nextHeartbeats().size() == 2);
        monitor.heard(master, heartbeat(2, 2, self.incarnation(), claim), now + 3 * MILLIS);
        tick(now + 4 * MILLIS);
        links.send(master.id(), new PeerMessage.Cancel("last"));
        await().until(() -> received.contains(new PeerMessage.Cancel("last")));
        assertThat(nextHeartbeats()).hasSize(2);
    }

    /** Guards against links that are replaced, with all orders on them sent again, only because a heartbeat is on its way. */
    @Test
    void a_link_whose_last_heartbeat_is_on_its_way_is_kept() {
        long now = System.nanoTime();
        monitor.connected(master.id(), now);
        for (int round = 0; round < 10; round++) {
            monitor.announce(status(), now + round * 100L * MILLIS);
        }

        monitor.heard(master, heartbeat(1, 9, self.incarnation()), now + 901 * MILLIS);
        monitor.announce(status(), now + 902 * MILLIS);
        monitor.heard(master, heartbeat(2, 10, self.incarnation()), now + 903 * MILLIS);

        links.openMissingConnections(now + 904 * MILLIS);
        links.send(master.id(), new PeerMessage.Cancel("last"));
        await().until(() -> received.contains(new PeerMessage.Cancel("last")));
        assertThat(introductions()).isEqualTo(1);
    }

    /** Guards against a link that has lost its way and is kept for ever, because the other direction still carries. */
    @Test
    void a_link_whose_heartbeats_are_not_seen_for_half_a_second_is_replaced() {
        long now = System.nanoTime();
        monitor.connected(master.id(), now);
        for (int round = 0; round < 10; round++) {
            monitor.announce(status(), now + round * 100L * MILLIS);
        }

        monitor.heard(master, heartbeat(1, 0, self.incarnation()), now + 901 * MILLIS);

        await().until(() -> {
            links.openMissingConnections(System.nanoTime());
            return introductions() == 2;
        });
    }

    private boolean seenByAllAfter(long seen, long seenIncarnation) {
        long now = System.nanoTime();
        PeerMonitor.Announcement claim = monitor.announce(status(), now);
        monitor.heard(master, heartbeat(7, seen, seenIncarnation), now);
        return monitor.allHaveSeen(claim, now);
    }

    /** Guards against inherited runs that are stopped before their fronts have handed the jobs over to the new master. */
    @Test
    void a_number_that_a_host_has_seen_of_an_earlier_life_confirms_no_announcement() {
        assertThat(seenByAllAfter(500, self.incarnation() - 1)).isFalse();
    }

    /** Guards against announcements that nothing ever confirms, so that inherited runs wait for their whole time. */
    @Test
    void a_number_that_a_host_has_seen_of_this_life_confirms_an_announcement() {
        assertThat(seenByAllAfter(1, self.incarnation())).isTrue();
    }

    private final class Recording extends IgnoringPeerListener {
        @Override
        public void onMessage(HostInfo _sender, PeerMessage message) {
            received.add(message);
        }
    }
}
