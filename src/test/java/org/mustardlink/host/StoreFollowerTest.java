package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import com.google.common.collect.ImmutableList;
import com.google.common.util.concurrent.Uninterruptibles;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;
import org.mustardlink.observe.EventLog;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.platform.KeyedRecord;
import org.mustardlink.platform.StoreClient;
import org.mustardlink.platform.StoreTopics;
import org.mustardlink.platform.standin.StandInStore;
import org.mustardlink.pool.PoolId;
import org.mustardlink.routing.RoutingTable;

/** Tests when the event loop of a host handles the records that were read from the store. */
final class StoreFollowerTest {
    private static final PoolId EAST = new PoolId("yard", "east");
    private static final HostInfo SELF = new HostInfo("east-1", "east", 11, "127.0.0.1:1", 750);

    private final CopyOnWriteArrayList<Claim> receivedClaims = new CopyOnWriteArrayList<>();

    private final class ClaimRecorder implements StoreFollower.Listener {
        @Override
        public void onConfiguration(RoutingTable _table, String _record, long _now) {}

        @Override
        public void onTargets(ImmutableList<KeyedRecord> _records, boolean _isFullList, long _now) {}

        @Override
        public void onTargetsUpToDate(long _readStartedNanos) {}

        @Override
        public void onClaim(Claim claim, long _now) {
            receivedClaims.add(claim);
        }

        @Override
        public void onHost(HostInfo _host, long _now) {}
    }

    private static void put(StandInStore store, Claim claim) {
        StoredClaim stored = StoredClaim.of(claim);
        store.put(StoreTopics.CLAIMS, stored.key(), Json.write(stored));
    }

    /** Guards against two masters: a busy host that claims a pool while another claim waits in its event queue. */
    @Test
    void a_claim_depends_on_the_claims_that_the_loop_has_handled() {
        CountDownLatch releaseLoop = new CountDownLatch(1);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        try (StandInStore store = StandInStore.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
                HostLoop loop = new HostLoop(_now -> {}, now -> now + 1_000_000, _failure -> {});
                StoreFollower follower = new StoreFollower(
                        StoreClient.create(requester, store.address()),
                        timer,
                        EventLog.create("east-1", "east", 10),
                        loop,
                        new ClaimRecorder(),
                        () -> true)) {
            loop.start();
            put(store, new Claim(EAST, "east-2", 12, 1));
            follower.start(StoredHost.of(SELF));
            await().until(() ->
                    receivedClaims.size() == 1 && follower.claimsEndOffset().isPresent());
            OptionalLong offsetBefore = follower.claimsEndOffset();

            CountDownLatch loopBlocked = new CountDownLatch(1);
            loop.post(_now -> {
                loopBlocked.countDown();
                Uninterruptibles.awaitUninterruptibly(releaseLoop);
            });
            Uninterruptibles.awaitUninterruptibly(loopBlocked);
            put(store, new Claim(EAST, "east-3", 13, 2));
            // Longer than a read of the store takes, so that the record is already waiting for the loop.
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(500));
            assertThat(follower.claimsEndOffset()).isEqualTo(offsetBefore);

            releaseLoop.countDown();
            await().until(() -> follower.claimsEndOffset().getAsLong() == offsetBefore.getAsLong() + 1);
            assertThat(receivedClaims).hasSize(2);
        } finally {
            releaseLoop.countDown();
            timer.shutdownNow();
            assertThat(Uninterruptibles.awaitTerminationUninterruptibly(timer, 5, TimeUnit.SECONDS))
                    .isTrue();
        }
    }
}
