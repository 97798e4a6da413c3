package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
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
import org.mustardlink.ownership.NoOpOwnershipActions;
import org.mustardlink.ownership.PoolOwnership;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.RequestId;

/** Tests which heartbeats a host sends, and when it replaces a link, over real connections. */
final class PeerMonitorTest {
    private static final int LINES_PER_SECOND = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final List<PeerMessage> received = new CopyOnWriteArrayList<>();
    private final HostInfo self = host("east-1", "east", 1);
    private final HostInfo master = host("west-1", "west", 2);
    private final AtomicBoolean connected = new AtomicBoolean();
    private PeerLinks links;
    private PeerLinks masterLinks;
    private PoolOwnership ownership;
    private PeerMonitor monitor;

    private static HostInfo host(String id, String domain, long incarnation) {
        return new HostInfo(id, domain, incarnation, "127.0.0.1:" + FreePorts.findPort(), 750);
    }

    @BeforeEach
    void openLinks() {
        long now = System.nanoTime();
        links = PeerLinks.start(self, new IgnoringPeerListener() {
            @Override
            public void onConnected(String _host) {
                connected.set(true);
            }
        });
        masterLinks = PeerLinks.start(master, new MessageRecorder());
        ownership = new PoolOwnership(self, new NoOpOwnershipActions(), Duration.ofSeconds(1), now);
        monitor = new PeerMonitor(
                self, ownership, EventLog.create("east-1", "east", LINES_PER_SECOND), EntryMetrics.create(1, 1), now);
        monitor.setLinks(links);
        monitor.registerPeer(master, true, (_host, _now) -> {}, now);
        await().untilTrue(connected);
    }

    @AfterEach
    void closeLinks() {
        links.close();
        masterLinks.close();
    }

    private static PeerMonitor.Status status() {
        return new PeerMonitor.Status(false, ImmutableMap.of());
    }

    private List<Duration> announcedIntervals() {
        return received.stream()
                .filter(PeerMessage.Heartbeat.class::isInstance)
                .map(message -> ((PeerMessage.Heartbeat) message).untilNext())
                .toList();
    }

    /**
     * Guards against a job that runs on beside its second attempt: the master of the first attempt still expected
     * heartbeats of the entry host at a longer interval, and noticed its loss too late.
     */
    @Test
    void the_shorter_heartbeat_interval_is_announced_to_a_master_before_a_job_is_sent() {
        long now = System.nanoTime();
        monitor.recordConnection(master.id(), now);
        monitor.tick(PeerMonitorTest::status, Set::of, (_host, _now) -> {}, now);
        await().until(() -> announcedIntervals().size() == 1);
        assertThat(announcedIntervals()).containsExactly(Duration.ofSeconds(10));

        monitor.announceFrequentHeartbeats(master.id(), PeerMonitorTest::status, now);
        links.send(master.id(), new PeerMessage.Cancel("job"));

        await().until(() -> received.stream().anyMatch(PeerMessage.Cancel.class::isInstance));
        assertThat(announcedIntervals()).containsExactly(Duration.ofSeconds(10), Duration.ofMillis(300));
        monitor.announceFrequentHeartbeats(master.id(), PeerMonitorTest::status, now);
        links.send(master.id(), new PeerMessage.Cancel("other"));
        await().until(() -> received.contains(new PeerMessage.Cancel("other")));
        assertThat(announcedIntervals()).hasSize(2);
    }

    private static PeerMessage.Heartbeat heartbeat(long number, long seen, long seenIncarnation, Claim... claims) {
        return new PeerMessage.Heartbeat(
                number,
                seen,
                seenIncarnation,
                Duration.ofMillis(100),
                false,
                ImmutableList.copyOf(claims),
                ImmutableMap.of(),
                ImmutableList.of());
    }

    private void tick(long now) {
        monitor.tick(PeerMonitorTest::status, Set::of, (_host, _now) -> {}, now);
    }

    private long helloCount() {
        return received.stream().filter(PeerMessage.Hello.class::isInstance).count();
    }

    /**
     * Guards against a handover that takes two seconds longer because the claim was read from the store before its
     * announcement arrived.
     */
    @Test
    void a_claim_that_was_read_from_the_store_is_confirmed_when_its_master_announces_it() {
        long now = System.nanoTime();
        tick(now);
        await().until(() -> announcedIntervals().size() == 1);
        Claim claim = new Claim(new PoolId("yard", "west"), master.id(), master.incarnation(), 1);
        ownership.recordClaim(claim, now);

        assertWithMessage("the timers, which send the confirmation, must run at once")
                .that(monitor.receiveHeartbeat(
                        master, heartbeat(1, 1, self.incarnation(), claim), now + NANOS_PER_MILLI))
                .isTrue();
        tick(now + 2 * NANOS_PER_MILLI);

        await().until(() -> announcedIntervals().size() == 2);
        monitor.receiveHeartbeat(master, heartbeat(2, 2, self.incarnation(), claim), now + 3 * NANOS_PER_MILLI);
        tick(now + 4 * NANOS_PER_MILLI);
        links.send(master.id(), new PeerMessage.Cancel("last"));
        await().until(() -> received.contains(new PeerMessage.Cancel("last")));
        assertThat(announcedIntervals()).hasSize(2);
    }

    /** Guards against replacing a link, and sending all its orders again, only because a heartbeat is in transit. */
    @Test
    void a_link_is_kept_while_its_last_heartbeat_is_in_transit() {
        long now = System.nanoTime();
        monitor.recordConnection(master.id(), now);
        for (int round = 0; round < 10; round++) {
            monitor.announce(status(), now + round * 100L * NANOS_PER_MILLI);
        }

        monitor.receiveHeartbeat(master, heartbeat(1, 9, self.incarnation()), now + 901 * NANOS_PER_MILLI);
        monitor.announce(status(), now + 902 * NANOS_PER_MILLI);
        monitor.receiveHeartbeat(master, heartbeat(2, 10, self.incarnation()), now + 903 * NANOS_PER_MILLI);

        links.openMissingConnections(now + 904 * NANOS_PER_MILLI);
        links.send(master.id(), new PeerMessage.Cancel("last"));
        await().until(() -> received.contains(new PeerMessage.Cancel("last")));
        assertThat(helloCount()).isEqualTo(1);
    }

    /** Guards against a dead link that is kept for ever, because heartbeats still arrive from the other direction. */
    @Test
    void a_link_whose_heartbeats_are_not_acknowledged_for_half_a_second_is_replaced() {
        long now = System.nanoTime();
        monitor.recordConnection(master.id(), now);
        for (int round = 0; round < 10; round++) {
            monitor.announce(status(), now + round * 100L * NANOS_PER_MILLI);
        }

        monitor.receiveHeartbeat(master, heartbeat(1, 0, self.incarnation()), now + 901 * NANOS_PER_MILLI);

        await().until(() -> {
            links.openMissingConnections(System.nanoTime());
            return helloCount() == 2;
        });
    }

    private List<PeerMessage.Withdraw> withdrawalsOfLastHeartbeat() {
        return received.stream()
                .filter(PeerMessage.Heartbeat.class::isInstance)
                .map(message -> ((PeerMessage.Heartbeat) message).withdrawals())
                .reduce(ImmutableList.of(), (_earlier, later) -> later);
    }

    /**
     * Guards against a job that runs on beside its second attempt: its withdrawal was sent once, on a connection that
     * broke, and the master kept the job because the heartbeats of its entry host went on.
     */
    @Test
    void a_withdrawal_is_repeated_with_the_heartbeats_until_its_master_acknowledges_one() {
        long now = System.nanoTime();
        tick(now);
        await().until(() -> announcedIntervals().size() == 1);
        PeerMessage.Withdraw withdrawal = new PeerMessage.Withdraw(
                new PoolId("yard", "west"), new RequestId(self.id(), self.incarnation(), 7), "job");
        links.reconnect(master.id());
        monitor.withdraw(master.id(), withdrawal);
        assertThat(received).doesNotContain(withdrawal);

        await().until(() -> {
            links.openMissingConnections(System.nanoTime());
            return helloCount() == 2;
        });
        await().until(() -> {
            monitor.announce(status(), now);
            return !withdrawalsOfLastHeartbeat().isEmpty();
        });
        assertThat(withdrawalsOfLastHeartbeat()).containsExactly(withdrawal);

        // The acknowledged heartbeat was sent before the withdrawal.
        monitor.receiveHeartbeat(master, heartbeat(1, 1, self.incarnation()), now);
        monitor.announce(status(), now);
        links.send(master.id(), new PeerMessage.Cancel("second"));
        await().until(() -> received.contains(new PeerMessage.Cancel("second")));
        assertThat(withdrawalsOfLastHeartbeat()).containsExactly(withdrawal);

        monitor.receiveHeartbeat(master, heartbeat(2, 1_000, self.incarnation()), now);
        monitor.announce(status(), now);
        links.send(master.id(), new PeerMessage.Cancel("third"));
        await().until(() -> received.contains(new PeerMessage.Cancel("third")));
        assertThat(withdrawalsOfLastHeartbeat()).isEmpty();
    }

    /**
     * Guards against jobs that run on beside their second attempts: the first of many withdrawals was dropped while the
     * heartbeats went on.
     */
    @Test
    void many_withdrawals_are_repeated_in_parts_until_their_master_has_acknowledged_all_of_them() {
        int count = 2_500;
        long now = System.nanoTime();
        tick(now);
        await().until(() -> announcedIntervals().size() == 1);
        ImmutableList<PeerMessage.Withdraw> withdrawals = IntStream.range(0, count)
                .mapToObj(i -> new PeerMessage.Withdraw(
                        new PoolId("yard", "west"), new RequestId(self.id(), self.incarnation(), i), "job-" + i))
                .collect(ImmutableList.toImmutableList());
        withdrawals.forEach(withdrawal -> monitor.withdraw(master.id(), withdrawal));

        Set<PeerMessage.Withdraw> listed = new HashSet<>();
        for (int heartbeats = 2; heartbeats <= 4; heartbeats++) {
            int expectedCount = heartbeats;
            monitor.announce(status(), now);
            await().until(() -> announcedIntervals().size() == expectedCount);
            listed.addAll(withdrawalsOfLastHeartbeat());
            monitor.receiveHeartbeat(master, heartbeat(heartbeats, heartbeats, self.incarnation()), now);
        }

        assertThat(listed).containsExactlyElementsIn(withdrawals);
        monitor.announce(status(), now);
        await().until(() -> announcedIntervals().size() == 5);
        assertThat(withdrawalsOfLastHeartbeat()).isEmpty();
    }

    /** Guards against a lease that is extended for a caller who has left, as another heartbeat lists its withdrawal. */
    @Test
    void a_heartbeat_confirms_requests_only_if_it_lists_all_withdrawals() {
        long now = System.nanoTime();
        tick(now);
        await().until(() -> announcedIntervals().size() == 1);
        for (int i = 0; i <= PeerMessage.Heartbeat.MAX_WITHDRAWALS; i++) {
            RequestId request = new RequestId(self.id(), self.incarnation(), i);
            monitor.withdraw(master.id(), new PeerMessage.Withdraw(new PoolId("yard", "west"), request, "job-" + i));
        }
        monitor.announce(status(), now);
        await().until(() -> announcedIntervals().size() == 2);
        assertThat(lastHeartbeat().confirmsRequests()).isFalse();

        assertWithMessage("the rest of the withdrawals must be sent at once")
                .that(monitor.receiveHeartbeat(master, heartbeat(1, 2, self.incarnation()), now))
                .isTrue();
        tick(now);
        await().until(() -> announcedIntervals().size() == 3);
        assertThat(lastHeartbeat().withdrawals()).hasSize(1);
        assertThat(lastHeartbeat().confirmsRequests()).isTrue();
    }

    private PeerMessage.Heartbeat lastHeartbeat() {
        return (PeerMessage.Heartbeat) received.stream()
                .filter(PeerMessage.Heartbeat.class::isInstance)
                .reduce((_earlier, later) -> later)
                .orElseThrow();
    }

    /** Guards against a master that learns of the repeated withdrawals, but acknowledges them seconds later. */
    @Test
    void a_heartbeat_with_withdrawals_is_answered_at_once() {
        long now = System.nanoTime();
        tick(now);
        await().until(() -> announcedIntervals().size() == 1);
        PeerMessage.Withdraw withdrawal = new PeerMessage.Withdraw(
                new PoolId("yard", "east"), new RequestId(master.id(), master.incarnation(), 7), "job");
        PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(
                1,
                1,
                self.incarnation(),
                Duration.ofMillis(300),
                false,
                ImmutableList.of(),
                ImmutableMap.of(),
                ImmutableList.of(withdrawal));

        assertThat(monitor.receiveHeartbeat(master, heartbeat, now + NANOS_PER_MILLI))
                .isTrue();
        tick(now + 2 * NANOS_PER_MILLI);

        await().until(() -> announcedIntervals().size() == 2);
    }

    private boolean isAcknowledgedBy(long seen, long seenIncarnation) {
        long now = System.nanoTime();
        PeerMonitor.Announcement announcement = monitor.announce(status(), now);
        monitor.receiveHeartbeat(master, heartbeat(7, seen, seenIncarnation), now);
        return monitor.allAcknowledged(announcement, now);
    }

    /** Guards against stopping inherited runs before the entry hosts have handed their jobs over to the new master. */
    @Test
    void an_acknowledgment_to_an_earlier_incarnation_does_not_confirm_an_announcement() {
        assertThat(isAcknowledgedBy(500, self.incarnation() - 1)).isFalse();
    }

    /** Guards against announcements that are never confirmed, so that inherited runs are kept for the maximum time. */
    @Test
    void an_acknowledgment_to_the_current_incarnation_confirms_an_announcement() {
        assertThat(isAcknowledgedBy(1, self.incarnation())).isTrue();
    }

    private void receive(long number, long seen, long now) {
        monitor.receiveHeartbeat(master, heartbeat(number, seen, self.incarnation()), now);
    }

    private long acknowledgedNumber() {
        return monitor.acknowledgedNumber(master.id(), master.incarnation());
    }

    /**
     * Guards against an entry host that was only silent, and whose orders are answered without a run until its next
     * heartbeat but one, seconds later.
     */
    @Test
    void the_first_heartbeat_after_a_silence_is_answered_at_once() {
        long now = System.nanoTime();
        tick(now);
        receive(1, 1, now);
        long resumed = now + Duration.ofSeconds(2).toNanos();
        tick(resumed);
        long lostNumber = monitor.lastHeartbeatNumber();

        assertWithMessage("the timers, which send the answer, must run at once")
                .that(monitor.receiveHeartbeat(master, heartbeat(2, 1, self.incarnation()), resumed))
                .isTrue();
        tick(resumed + NANOS_PER_MILLI);
        assertThat(monitor.lastHeartbeatNumber()).isEqualTo(lostNumber + 1);

        receive(3, lostNumber + 1, resumed + 2 * NANOS_PER_MILLI);
        tick(resumed + 3 * NANOS_PER_MILLI);
        assertWithMessage("the answer must not be answered in turn")
                .that(monitor.lastHeartbeatNumber())
                .isEqualTo(lostNumber + 1);
    }

    /** Guards against a silent host that could acknowledge no heartbeat, because none is sent to it after its loss. */
    @Test
    void a_heartbeat_is_sent_to_a_host_as_soon_as_it_is_declared_lost() {
        long now = System.nanoTime();
        tick(now);
        receive(1, 1, now);
        List<Long> numberAtLoss = new ArrayList<>();
        long silent = now + Duration.ofSeconds(2).toNanos();
        monitor.tick(
                PeerMonitorTest::status,
                Set::of,
                (_host, _now) -> numberAtLoss.add(monitor.lastHeartbeatNumber()),
                silent);
        assertThat(numberAtLoss).hasSize(1);

        tick(silent + NANOS_PER_MILLI);

        assertThat(monitor.lastHeartbeatNumber()).isEqualTo(numberAtLoss.get(0) + 1);
    }

    /** Guards against a late acknowledgment that is taken for one of a heartbeat sent after the host was replaced. */
    @Test
    void heartbeat_numbers_do_not_restart_when_a_host_is_registered_again() {
        long now = System.nanoTime();
        monitor.announce(status(), now);
        monitor.announce(status(), now);
        HostInfo next = new HostInfo(
                master.id(), master.domain(), master.incarnation() + 1, master.address(), master.cpuMillis());
        List<Long> numberAtLoss = new ArrayList<>();
        monitor.registerPeer(next, true, (_host, _now) -> numberAtLoss.add(monitor.lastHeartbeatNumber()), now);
        monitor.announce(status(), now);

        assertThat(numberAtLoss).containsExactly(2L);
        assertThat(monitor.lastHeartbeatNumber()).isEqualTo(3);
    }

    /** Guards against an acknowledgment to an ended process of this host that readmits a lost entry host. */
    @Test
    void an_acknowledgment_to_an_earlier_incarnation_is_not_counted() {
        long now = System.nanoTime();
        monitor.receiveHeartbeat(master, heartbeat(1, 500, self.incarnation() - 1), now);
        assertThat(acknowledgedNumber()).isEqualTo(0);

        monitor.announce(status(), now);
        receive(2, 1, now);
        assertThat(acknowledgedNumber()).isEqualTo(1);
    }

    private final class MessageRecorder extends IgnoringPeerListener {
        @Override
        public void onMessage(HostInfo _sender, PeerMessage message) {
            received.add(message);
        }
    }
}
