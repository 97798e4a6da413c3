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

/** Tests what a host takes in from the store, and when. */
final class StoreFollowingTest {
    private static final PoolId EAST = new PoolId("yard", "east");
    private static final HostInfo SELF = new HostInfo("east-1", "east", 11, "127.0.0.1:1", 750);

    private final CopyOnWriteArrayList<Claim> taken = new CopyOnWriteArrayList<>();

    private final class Taken implements StoreFollowing.Listener {
        @Override
        public void configured(RoutingTable _table, String _record, long _now) {}

        @Override
        public void targets(ImmutableList<KeyedRecord> _records, boolean _whole, long _now) {}

        @Override
        public void claimed(Claim claim, long _now) {
            taken.add(claim);
        }

        @Override
        public void listed(HostInfo _host, long _now) {}
    }

    private static void put(StandInStore store, Claim claim) {
        StoredClaim stored = StoredClaim.of(claim);
        store.put(StoreTopics.CLAIMS, stored.key(), Json.write(stored));
    }

    /** Guards against two masters: a busy host that claims a pool although another claim waits in its queue of events. */
    @Test
    void a_claim_depends_on_the_claims_that_the_loop_has_taken_in() {
        CountDownLatch release = new CountDownLatch(1);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        try (StandInStore store = StandInStore.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
                HostLoop loop = new HostLoop(_now -> {}, now -> now + 1_000_000, _failure -> {});
                StoreFollowing following = new StoreFollowing(
                        StoreClient.create(requester, store.address()),
                        timer,
                        EventLog.create("east-1", "east", 10),
                        loop,
                        new Taken(),
                        () -> true)) {
            loop.start();
            put(store, new Claim(EAST, "east-2", 12, 1));
            following.start(StoredHost.of(SELF));
            await().until(() -> taken.size() == 1 && following.claimsEnd().isPresent());
            OptionalLong before = following.claimsEnd();

            CountDownLatch busy = new CountDownLatch(1);
            loop.post(_now -> {
                busy.countDown();
                Uninterruptibles.awaitUninterruptibly(release);
            });
            Uninterruptibles.awaitUninterruptibly(busy);
            put(store, new Claim(EAST, "east-3", 13, 2));
            // Longer than a reading of the store takes, so that the record waits for the loop.
            Uninterruptibles.sleepUninterruptibly(Duration.ofMillis(500));
            assertThat(following.claimsEnd()).isEqualTo(before);

            release.countDown();
            await().until(() -> following.claimsEnd().getAsLong() == before.getAsLong() + 1);
            assertThat(taken).hasSize(2);
        } finally {
            release.countDown();
            timer.shutdownNow();
            assertThat(Uninterruptibles.awaitTerminationUninterruptibly(timer, 5, TimeUnit.SECONDS))
                    .isTrue();
        }
    }
}
