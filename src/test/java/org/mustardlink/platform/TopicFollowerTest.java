package org.mustardlink.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.platform.standin.StandInStore;

/** Tests that reading a topic continues after records that the listener cannot handle. */
final class TopicFollowerTest {
    private static final String TOPIC = "keyed.followed";
    private static final Duration LONG = Duration.ofSeconds(5);

    private final StandInStore store = StandInStore.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    private final HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final List<String> read = new CopyOnWriteArrayList<>();
    private final List<String> failed = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        timer.shutdownNow();
        requester.close();
        store.close();
    }

    private final class Listener implements TopicFollower.Listener {
        @Override
        public void onRecords(StoreClient.Page page, boolean _isFullList) {
            for (KeyedRecord record : page.records()) {
                if (record.key().equals("deep")) {
                    throw new StackOverflowError("planted");
                }
                if (record.key().equals("bad")) {
                    throw new IllegalArgumentException("planted");
                }
                read.add(record.key());
            }
        }

        @Override
        public void onReachabilityChanged(String _topic, boolean _isReachable, String _why) {}

        @Override
        public void onRecordsFailed(String _topic, Throwable cause) {
            failed.add(String.valueOf(cause.getMessage()));
        }
    }

    /** Guards against a new master that keeps the tasks of resumed jobs waiting for the usual pause between two reads. */
    @Test
    void a_pause_between_reads_ends_when_a_read_is_requested() {
        store.put(TOPIC, "first", "1");
        TopicFollower follower = TopicFollower.start(
                StoreClient.create(requester, store.address()),
                TOPIC,
                Duration.ofMillis(200),
                () -> Duration.ofMinutes(10),
                new Listener(),
                timer);
        await().atMost(LONG).until(() -> read.contains("first"));
        store.put(TOPIC, "later", "2");

        follower.readSoon();

        await().atMost(LONG).until(() -> read.contains("later"));
        follower.close();
    }

    /** Guards against a host that receives no further changes because the listener failed on one record. */
    @ParameterizedTest
    @ValueSource(strings = {"bad", "deep"})
    void an_exception_or_error_in_the_listener_does_not_stop_the_follower(String badKey) {
        store.put(TOPIC, "first", "1");
        TopicFollower follower = TopicFollower.start(
                StoreClient.create(requester, store.address()),
                TOPIC,
                Duration.ofMillis(200),
                () -> Duration.ZERO,
                new Listener(),
                timer);
        await().atMost(LONG).until(() -> read.contains("first"));

        store.put(TOPIC, badKey, "2");
        await().atMost(LONG).until(() -> !failed.isEmpty());
        store.put(TOPIC, "later", "3");

        await().atMost(LONG).until(() -> read.contains("later"));
        assertThat(failed).containsExactly("planted");
        follower.close();
    }
}
