package org.mustardlink.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mustardlink.pool.PoolId;

/** Tests which host claims a pool, and when a master releases a pool. */
final class PoolOwnershipTest {
    private static final PoolId EAST = new PoolId("yard", "east");
    private static final PoolId WEST = new PoolId("yard", "west");
    private static final HostInfo EAST_1 = new HostInfo("east-1", "east", 11, "127.0.0.1:1", 750);
    private static final HostInfo EAST_2 = new HostInfo("east-2", "east", 12, "127.0.0.1:2", 500);
    private static final HostInfo WEST_1 = new HostInfo("west-1", "west", 13, "127.0.0.1:3", 750);

    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);

    private final Recorder recorder = new Recorder();

    private static long ms(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static final class Recorder implements OwnershipActions {
        private final List<Claim> written = new ArrayList<>();
        private final List<Claim> acquired = new ArrayList<>();
        private final List<PoolId> released = new ArrayList<>();
        private final List<PoolId> probed = new ArrayList<>();

        @Override
        public void writeClaim(Claim claim) {
            written.add(claim);
        }

        @Override
        public void probePool(PoolId pool) {
            probed.add(pool);
        }

        @Override
        public void startMaster(Claim claim) {
            acquired.add(claim);
        }

        @Override
        public void stopMaster(PoolId pool, String _reason) {
            released.add(pool);
        }
    }

    private PoolOwnership ownership(HostInfo self, PoolId... pools) {
        PoolOwnership ownership = new PoolOwnership(self, recorder, Duration.ofSeconds(1), 0);
        ownership.setPools(ImmutableSet.copyOf(pools));
        return ownership;
    }

    private static void receiveHeartbeat(PoolOwnership ownership, HostInfo host, long now) {
        ownership.addHost(host, true, now);
        ownership.recordHeartbeat(host.id(), host.incarnation(), HEARTBEAT_INTERVAL, false, now);
    }

    /**
     * Returns the state of the second host, which has received a heartbeat of the first one, the master, at
     * {@code now}.
     */
    private PoolOwnership standbyWithMasterHeartbeatAt(long now) {
        PoolOwnership ownership = ownership(EAST_2, EAST);
        receiveHeartbeat(ownership, EAST_1, now);
        ownership.recordClaim(new Claim(EAST, "east-1", 11, 4), 0);
        return ownership;
    }

    @Test
    void the_host_of_the_domain_with_the_most_cpu_claims_the_pool() {
        PoolOwnership first = ownership(EAST_1, EAST);
        receiveHeartbeat(first, EAST_2, ms(1_250));
        first.tick(ms(1_300));
        assertThat(recorder.written).containsExactly(new Claim(EAST, "east-1", 11, 1));

        recorder.written.clear();
        PoolOwnership second = ownership(EAST_2, EAST);
        receiveHeartbeat(second, EAST_1, ms(1_250));
        second.tick(ms(1_300));
        assertThat(recorder.written).isEmpty();
    }

    /** Guards against a pool without a master: the long poll may deliver the claim before the append is answered. */
    @Test
    void a_claim_that_is_read_back_before_its_write_is_answered_still_makes_this_host_the_master() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.tick(ms(1_300));
        Claim claim = recorder.written.get(0);

        ownership.recordClaim(claim, 0);
        ownership.completeClaimWrite(claim, PoolOwnership.ClaimOutcome.WRITTEN, ms(1_310));

        assertThat(recorder.acquired).containsExactly(claim);
        assertThat(ownership.owns(EAST)).isTrue();
    }

    @Test
    void a_master_that_reads_a_superseding_claim_releases_the_pool() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.tick(ms(1_300));
        ownership.completeClaimWrite(recorder.written.get(0), PoolOwnership.ClaimOutcome.WRITTEN, ms(1_310));

        ownership.recordClaim(new Claim(EAST, "east-2", 12, 2), 0);

        assertThat(recorder.released).containsExactly(EAST);
        assertThat(ownership.owns(EAST)).isFalse();
    }

    @Test
    void a_silent_master_is_replaced_and_a_live_one_is_not() {
        PoolOwnership ownership = standbyWithMasterHeartbeatAt(ms(1_200));

        ownership.tick(ms(1_600));
        assertThat(recorder.written).isEmpty();
        ownership.tick(ms(1_800));
        assertThat(recorder.written).containsExactly(new Claim(EAST, "east-2", 12, 5));
    }

    /**
     * Guards against a small host that keeps a pool for good after it has claimed it while larger hosts were silent.
     */
    @Test
    void a_pool_is_taken_over_from_a_master_with_a_fraction_of_the_cpu() {
        HostInfo small = new HostInfo("east-3", "east", 14, "127.0.0.1:4", 270);
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.recordClaim(new Claim(EAST, "east-3", 14, 6), 0);
        receiveHeartbeat(ownership, small, ms(1_950));
        ownership.tick(ms(1_990));
        assertThat(recorder.written).isEmpty();

        receiveHeartbeat(ownership, small, ms(2_050));
        ownership.tick(ms(2_060));
        assertThat(recorder.written).containsExactly(new Claim(EAST, "east-1", 11, 7));
    }

    @Test
    void a_pool_stays_with_a_master_that_has_slightly_less_cpu() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.recordClaim(new Claim(EAST, "east-2", 12, 6), 0);
        receiveHeartbeat(ownership, EAST_2, ms(2_050));
        ownership.tick(ms(2_060));
        assertThat(recorder.written).isEmpty();
    }

    /** Guards against an overloaded host that considers others dead while their heartbeats wait in its own queue. */
    @Test
    void a_host_whose_event_loop_was_delayed_does_not_consider_the_master_silent() {
        PoolOwnership ownership = standbyWithMasterHeartbeatAt(ms(1_200));

        assertThat(ownership.recordLoopDelay(ms(700), ms(1_900))).isTrue();
        ownership.tick(ms(1_900));
        assertThat(recorder.written).isEmpty();
        assertThat(ownership.shouldAbandonWork("east-1", 11, ms(2_300))).isFalse();
        ownership.tick(ms(2_450));
        assertThat(recorder.written).containsExactly(new Claim(EAST, "east-2", 12, 5));
    }

    /**
     * Guards against a failure that is detected late, because the delay of the event loop is also credited to a
     * heartbeat that was handled at the end of the delay.
     */
    @Test
    void a_loop_delay_does_not_extend_a_heartbeat_that_was_handled_at_its_end() {
        PoolOwnership ownership = standbyWithMasterHeartbeatAt(ms(1_900));

        assertThat(ownership.recordLoopDelay(ms(700), ms(1_900))).isTrue();
        ownership.tick(ms(2_450));
        assertThat(recorder.written).containsExactly(new Claim(EAST, "east-2", 12, 5));
    }

    @Test
    void a_refused_connection_ends_the_wait_for_a_silent_master() {
        PoolOwnership ownership = ownership(EAST_2, EAST);
        receiveHeartbeat(ownership, EAST_1, ms(1_290));
        ownership.recordClaim(new Claim(EAST, "east-1", 11, 4), 0);
        ownership.recordConnectionRefused("east-1");

        ownership.tick(ms(1_300));

        assertThat(recorder.written).hasSize(1);
    }

    @Test
    void a_master_is_replaced_once_its_heartbeat_says_that_it_is_stopping() {
        PoolOwnership ownership = ownership(EAST_2, EAST);
        receiveHeartbeat(ownership, EAST_1, ms(1_290));
        ownership.recordClaim(new Claim(EAST, "east-1", 11, 4), 0);
        ownership.recordHeartbeat("east-1", 11, HEARTBEAT_INTERVAL, true, ms(1_295));

        ownership.tick(ms(1_300));

        assertThat(recorder.written).hasSize(1);
    }

    /** Guards against a partitioned domain that loses its pool to hosts that can't reach its targets. */
    @Test
    void another_domains_pool_is_claimed_only_after_its_targets_have_answered_for_a_while() {
        PoolOwnership ownership = ownership(WEST_1, EAST);
        ownership.tick(ms(1_300));
        assertThat(recorder.probed).containsExactly(EAST);
        assertThat(recorder.written).isEmpty();

        for (long at = 1_310; at <= 2_800; at += 50) {
            ownership.recordTargetAnswer(EAST, ms(at));
            ownership.tick(ms(at));
        }

        assertThat(recorder.written).isNotEmpty();
    }

    /**
     * Guards against a pool without a master after all hosts of its domain have lost power: their next heartbeats may
     * be due only after 10 s.
     */
    @Test
    void the_pool_of_a_silent_domain_is_claimed_before_the_rare_heartbeats_of_its_hosts_are_due() {
        PoolOwnership ownership = ownership(WEST_1, EAST);
        ownership.addHost(EAST_1, true, 0);
        ownership.recordHeartbeat("east-1", 11, Duration.ofSeconds(10), false, ms(1_000));
        for (long at = 1_300; at <= 3_350; at += 50) {
            ownership.recordTargetAnswer(EAST, ms(at));
            ownership.tick(ms(at));
        }
        assertThat(recorder.written).isEmpty();

        for (long at = 3_400; at <= 4_700; at += 50) {
            ownership.recordTargetAnswer(EAST, ms(at));
            ownership.tick(ms(at));
        }

        assertThat(recorder.written).isNotEmpty();
    }

    /** Guards against stopping the jobs of an entry host that works but whose heartbeats don't arrive. */
    @Test
    void a_host_that_sends_jobs_is_not_silent() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.addHost(EAST_2, true, 0);
        ownership.recordHeartbeat("east-2", 12, Duration.ofMillis(300), false, 0);

        ownership.recordMessage("east-2", 12, ms(600));

        assertThat(ownership.shouldAbandonWork("east-2", 12, ms(1_500))).isFalse();
        assertThat(ownership.shouldAbandonWork("east-2", 12, ms(1_650))).isTrue();
    }

    /**
     * Guards against jobs of a lost entry host that are still running when their callers send them again, 1.3 s after
     * the first attempt.
     */
    @Test
    void the_jobs_of_a_host_are_stopped_one_second_after_its_last_message_for_every_heartbeat_interval() {
        for (int interval : new int[] {100, 300, 500}) {
            PoolOwnership ownership = ownership(EAST_1, EAST);
            ownership.addHost(EAST_2, true, 0);
            ownership.recordHeartbeat("east-2", 12, Duration.ofMillis(interval), false, 0);

            assertThat(ownership.shouldAbandonWork("east-2", 12, ms(1_000))).isFalse();
            assertThat(ownership.shouldAbandonWork("east-2", 12, ms(1_001))).isTrue();
        }
    }

    @Test
    void a_host_of_the_pools_own_domain_takes_the_pool_over_from_a_host_of_another_domain() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        receiveHeartbeat(ownership, WEST_1, ms(2_100));
        ownership.recordClaim(new Claim(EAST, "west-1", 13, 3), 0);

        ownership.tick(ms(1_900));
        assertThat(recorder.written).isEmpty();
        ownership.tick(ms(2_200));
        assertThat(recorder.written).containsExactly(new Claim(EAST, "east-1", 11, 4));
    }

    /** Guards against a host that can reach only the targets: it must not fence off a live master. */
    @Test
    void a_host_without_live_peers_does_not_immediately_claim_without_the_store() {
        PoolOwnership ownership = ownership(EAST_2, EAST);
        receiveHeartbeat(ownership, EAST_1, ms(1_000));
        ownership.recordClaim(new Claim(EAST, "east-1", 11, 4), 0);
        ownership.tick(ms(1_400));
        ownership.tick(ms(1_600));
        Claim claim = recorder.written.get(0);

        ownership.completeClaimWrite(claim, PoolOwnership.ClaimOutcome.NO_ANSWER, ms(1_700));

        assertThat(recorder.acquired).isEmpty();
    }

    @Test
    void a_host_with_a_live_peer_claims_without_the_store() {
        PoolOwnership ownership = ownership(EAST_2, EAST);
        receiveHeartbeat(ownership, WEST_1, ms(1_290));
        ownership.tick(ms(1_300));

        ownership.completeClaimWrite(recorder.written.get(0), PoolOwnership.ClaimOutcome.NO_ANSWER, ms(1_500));

        assertThat(ownership.owns(EAST)).isTrue();
    }

    /** Guards against a pool that has no master for seconds after all hosts have restarted. */
    @Test
    void after_a_restart_of_all_hosts_the_first_in_order_claims_without_waiting_for_the_others() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.addHost(new HostInfo("east-2", "east", 99, "127.0.0.1:2", 500), false, ms(10));
        ownership.recordClaim(new Claim(EAST, "east-2", 12, 4), 0);

        ownership.tick(ms(200));

        assertThat(recorder.written).containsExactly(new Claim(EAST, "east-1", 11, 5));
    }

    @Test
    void a_fenced_master_claims_the_pool_again_when_no_other_claim_arrives() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.tick(ms(1_300));
        ownership.completeClaimWrite(recorder.written.get(0), PoolOwnership.ClaimOutcome.WRITTEN, ms(1_310));

        ownership.recordFencingRejection(EAST, ms(1_400));
        ownership.tick(ms(1_500));
        assertThat(recorder.written).hasSize(1);
        ownership.tick(ms(1_800));

        assertThat(recorder.written.get(1)).isEqualTo(new Claim(EAST, "east-1", 11, 2));
    }

    /**
     * Guards against jobs that are all handed back because entry hosts learn of a claim before its host acts under it.
     */
    @Test
    void a_renewed_claim_that_is_read_back_before_its_write_is_answered_takes_effect_immediately() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.tick(ms(1_300));
        ownership.completeClaimWrite(recorder.written.get(0), PoolOwnership.ClaimOutcome.WRITTEN, ms(1_310));
        ownership.recordFencingRejection(EAST, ms(1_400));
        ownership.tick(ms(1_800));
        Claim renewed = recorder.written.get(1);

        ownership.recordClaim(renewed, ms(1_801));
        assertThat(ownership.master(EAST, ms(1_802))).hasValue(renewed);
        assertThat(ownership.ownClaims()).containsExactly(renewed);
        assertThat(recorder.acquired.get(recorder.acquired.size() - 1)).isEqualTo(renewed);

        ownership.completeClaimWrite(renewed, PoolOwnership.ClaimOutcome.WRITTEN, ms(1_810));
        ownership.tick(ms(20_000));
        assertThat(recorder.acquired).hasSize(2);
        assertThat(recorder.released).containsExactly(EAST);
        assertThat(ownership.master(EAST, ms(20_000))).hasValue(renewed);
    }

    /** Guards against jobs that are all handed back when the log answers so late that the write counts as failed. */
    @Test
    void a_renewed_claim_that_is_read_back_after_its_write_timed_out_takes_effect_immediately() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.tick(ms(1_300));
        ownership.completeClaimWrite(recorder.written.get(0), PoolOwnership.ClaimOutcome.WRITTEN, ms(1_310));
        ownership.recordFencingRejection(EAST, ms(1_400));
        ownership.tick(ms(1_800));
        Claim renewed = recorder.written.get(1);
        ownership.tick(ms(2_300));
        assertThat(recorder.acquired).hasSize(1);

        ownership.recordClaim(renewed, ms(2_310));

        assertThat(ownership.master(EAST, ms(2_311))).hasValue(renewed);
        assertThat(recorder.acquired.get(recorder.acquired.size() - 1)).isEqualTo(renewed);
    }

    /**
     * Guards against two domains that take a pool from each other after a network partition has ended, while their
     * heartbeats haven't arrived yet.
     */
    @Test
    void a_recently_read_claim_keeps_others_from_claiming_before_a_heartbeat_of_its_host_arrives() {
        PoolOwnership ownership = ownership(EAST_2, EAST);
        ownership.addHost(EAST_1, false, 0);
        ownership.recordClaim(new Claim(EAST, "west-1", 13, 3), ms(10));
        ownership.recordClaim(new Claim(EAST, "east-1", 11, 4), ms(1_500));

        ownership.tick(ms(2_000));
        assertThat(recorder.written).isEmpty();
        ownership.tick(ms(2_600));

        assertThat(recorder.written).containsExactly(new Claim(EAST, "east-2", 12, 5));
    }

    @Test
    void a_host_that_restarts_with_an_earlier_clock_is_accepted_once_its_previous_incarnation_is_silent() {
        PoolOwnership ownership = ownership(EAST_1, EAST, WEST);
        receiveHeartbeat(ownership, EAST_2, ms(1_000));
        HostInfo earlierClock = new HostInfo("east-2", "east", 5, "127.0.0.1:2", 500);

        assertThat(ownership.addHost(earlierClock, true, ms(1_100))).isFalse();
        assertThat(ownership.addHost(earlierClock, true, ms(1_600))).isTrue();
    }

    /** Guards against a handover that ends while a host that may still hand jobs over hasn't sent a heartbeat yet. */
    @Test
    void a_host_is_gone_when_it_refuses_is_silent_or_restarts_but_not_before_its_first_heartbeat() {
        PoolOwnership ownership = ownership(EAST_1, EAST, WEST);
        long incarnation = EAST_2.incarnation();
        ownership.addHost(EAST_2, true, ms(1_000));
        assertThat(ownership.isGone("east-2", incarnation, ms(1_900))).isFalse();

        ownership.recordHeartbeat("east-2", incarnation, HEARTBEAT_INTERVAL, false, ms(2_000));
        assertThat(ownership.isGone("east-2", incarnation, ms(2_400))).isFalse();
        assertThat(ownership.isGone("east-2", incarnation - 1, ms(2_400))).isTrue();
        assertThat(ownership.isGone("east-2", incarnation, ms(2_600))).isTrue();

        ownership.recordHeartbeat("east-2", incarnation, HEARTBEAT_INTERVAL, false, ms(3_000));
        ownership.recordConnectionRefused("east-2");
        assertThat(ownership.isGone("east-2", incarnation, ms(3_001))).isTrue();
    }

    /** Guards against a host that is considered dead although it had announced a longer heartbeat interval. */
    @Test
    void a_host_is_considered_dead_only_after_its_next_heartbeat_was_due() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.addHost(EAST_2, true, 0);
        ownership.recordHeartbeat("east-2", 12, Duration.ofSeconds(1), false, 0);

        assertThat(ownership.isAlive("east-2", 12, ms(1_300))).isTrue();
        assertThat(ownership.isAlive("east-2", 12, ms(1_500))).isFalse();

        ownership.recordHeartbeat("east-2", 12, HEARTBEAT_INTERVAL, false, ms(2_000));
        assertThat(ownership.isAlive("east-2", 12, ms(2_450))).isTrue();
        assertThat(ownership.isAlive("east-2", 12, ms(2_550))).isFalse();
    }

    /** Guards against all shards of a domain being claimed by one of several equal hosts. */
    @Test
    void equal_hosts_claim_one_shard_each() {
        HostInfo twin = new HostInfo("east-3", "east", 14, "127.0.0.1:4", 750);
        PoolId first = new PoolId("yard", "east", 0, 2);
        PoolId second = new PoolId("yard", "east", 1, 2);
        PoolOwnership one = ownership(EAST_1, first, second);
        PoolOwnership other = ownership(twin, first, second);
        receiveHeartbeat(one, twin, ms(1_250));
        receiveHeartbeat(other, EAST_1, ms(1_250));

        one.tick(ms(1_300));
        assertThat(recorder.written).hasSize(1);
        other.tick(ms(1_300));
        assertThat(recorder.written).hasSize(2);
        assertThat(recorder.written.stream().map(Claim::pool)).containsExactly(first, second);
    }

    /**
     * Guards against targets that reject the master of their new shard because they have seen a higher fencing token.
     */
    @Test
    void the_first_claim_of_a_shard_has_a_higher_round_than_all_claims_of_its_domain() {
        PoolId second = new PoolId("yard", "east", 1, 2);
        PoolOwnership ownership = ownership(EAST_1, second);
        ownership.recordClaim(new Claim(EAST, "east-2", 12, 7), ms(10));
        ownership.tick(ms(1_300));

        assertThat(recorder.written).containsExactly(new Claim(second, "east-1", 11, 8));
    }

    /**
     * Guards against jobs that are stopped because their entry host was silent for a moment. Callers send a job again
     * 1.3 s after they have lost it, so the first run must be stopped by then.
     */
    @Test
    void the_jobs_of_a_silent_host_are_stopped_later_than_its_pools_are_taken_over() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.addHost(EAST_2, true, 0);
        ownership.recordHeartbeat("east-2", 12, HEARTBEAT_INTERVAL, false, 0);

        assertThat(ownership.isAlive("east-2", 12, ms(900))).isFalse();
        assertThat(ownership.shouldAbandonWork("east-2", 12, ms(900))).isFalse();
        assertThat(ownership.shouldAbandonWork("east-2", 12, ms(1_050))).isTrue();
    }

    @Test
    void the_jobs_of_a_host_that_refuses_connections_are_stopped_immediately() {
        PoolOwnership ownership = ownership(EAST_1, EAST);
        ownership.addHost(EAST_2, true, 0);
        ownership.recordHeartbeat("east-2", 12, HEARTBEAT_INTERVAL, false, 0);
        ownership.recordConnectionRefused("east-2");

        assertThat(ownership.shouldAbandonWork("east-2", 12, ms(10))).isTrue();
    }
}
