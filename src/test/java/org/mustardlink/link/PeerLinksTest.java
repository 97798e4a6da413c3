package org.mustardlink.link;

import static com.google.common.truth.Truth.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mustardlink.exercise.FreePorts;
import org.mustardlink.ownership.HostInfo;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.RequestId;

/** Tests which connections from another host deliver messages to the listener. */
final class PeerLinksTest {
    private static final Duration LONG = Duration.ofSeconds(10);
    /** A message that the network delivers late. */
    private static final PeerMessage LATE = new PeerMessage.Cancel("late");

    private static final PeerMessage WITHDRAW =
            new PeerMessage.Withdraw(new PoolId("yard", "east"), new RequestId("west-1", 2, 1), "job");
    private static final PeerMessage LAST = new PeerMessage.Cancel("last");

    private final int port = FreePorts.findPort();
    private final List<PeerMessage> received = new CopyOnWriteArrayList<>();
    private PeerLinks links;

    @BeforeEach
    void listen() {
        links = PeerLinks.start(new HostInfo("east-1", "east", 1, "127.0.0.1:" + port, 750), new Recording());
    }

    @AfterEach
    void close() {
        links.close();
    }

    private Socket open() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), port);
    }

    private static PeerMessage.Hello hello(long incarnation, long number) {
        return new PeerMessage.Hello(new HostInfo("west-1", "west", incarnation, "127.0.0.1:1", 750), number);
    }

    private static void write(Socket socket, PeerMessage message) throws IOException {
        byte[] body = PeerCodec.encode(message);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(body.length);
        out.write(body);
        out.flush();
    }

    /** Writes messages and waits until the last one is received. */
    private void deliver(Socket socket, PeerMessage... messages) throws IOException {
        for (PeerMessage message : messages) {
            write(socket, message);
        }
        await().atMost(LONG).until(() -> received.contains(messages[messages.length - 1]));
    }

    /** Writes messages to a connection that the receiver may already have closed. */
    private static void tryToWrite(Socket socket, PeerMessage... messages) throws IOException {
        try {
            for (PeerMessage message : messages) {
                write(socket, message);
            }
        } catch (SocketException _closed) {
            // Messages that cannot be written are dropped as well, so the test's expectation still holds.
        }
    }

    private static boolean closedByReceiver(Socket socket) throws IOException {
        socket.setSoTimeout((int) LONG.toMillis());
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException _reset) {
            return true;
        }
    }

    /**
     * Guards against two runs of a task: a submission that TCP retransmits after a partition would start a job that has
     * been withdrawn on a newer connection.
     */
    @Test
    void a_message_on_a_connection_that_its_sender_has_replaced_is_dropped() throws IOException {
        try (Socket first = open();
                Socket second = open()) {
            deliver(first, hello(2, 1));
            deliver(second, hello(2, 2), WITHDRAW);
            tryToWrite(first, LATE);
            deliver(second, LAST);

            assertThat(received).doesNotContain(LATE);
            assertThat(closedByReceiver(first)).isTrue();
        }
    }

    /**
     * Guards against a replaced connection that counts as the newest because its hello message arrives late as well.
     */
    @Test
    void a_connection_whose_hello_arrives_after_that_of_a_newer_one_is_closed_and_its_messages_are_dropped()
            throws IOException {
        try (Socket first = open();
                Socket second = open()) {
            deliver(second, hello(2, 2));
            tryToWrite(first, hello(2, 1), LATE);
            deliver(second, LAST);

            assertThat(closedByReceiver(first)).isTrue();
            assertThat(received).containsExactly(hello(2, 2), LAST);
        }
    }

    /** Guards against messages of a terminated process that arrive after the first message of its next incarnation. */
    @Test
    void a_connection_of_a_later_incarnation_closes_those_of_an_earlier_one() throws IOException {
        try (Socket earlier = open();
                Socket later = open()) {
            deliver(earlier, hello(2, 7));
            deliver(later, hello(3, 1));
            tryToWrite(earlier, LATE);
            deliver(later, LAST);

            assertThat(received).doesNotContain(LATE);
            assertThat(closedByReceiver(earlier)).isTrue();
        }
    }

    /** Guards against a live host whose connection is closed because of delayed data from its earlier incarnation. */
    @Test
    void a_connection_of_an_earlier_incarnation_closes_none_of_a_later_one() throws IOException {
        try (Socket earlier = open();
                Socket later = open()) {
            deliver(later, hello(3, 1));
            deliver(earlier, hello(2, 7));

            deliver(later, LAST);
        }
    }

    private final class Recording extends IgnoringPeerListener {
        @Override
        public void onMessage(HostInfo _sender, PeerMessage message) {
            received.add(message);
        }
    }
}
