package org.mustardlink.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class CloseIdleTest {
    private static final String REPLY = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    /** Guards against connections that stay open to a stopping target, and against closing one during a call. */
    @Test
    void idle_connections_close_at_once_and_busy_ones_after_their_call() throws IOException {
        HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            CompletableFuture<HttpReply> first = sendRequest(requester, address);
            ServerConnection busy = new ServerConnection(server.accept());
            // Two connections opened at the same time may be accepted in either order, so the second call starts later.
            busy.readRequest();
            CompletableFuture<HttpReply> second = sendRequest(requester, address);
            ServerConnection idle = new ServerConnection(server.accept());
            idle.readRequest();
            idle.writeReply();
            assertThat(second.join().body()).isEqualTo("ok");

            requester.closeIdleConnections(address);

            assertThat(idle.isClosedByClient()).isTrue();
            busy.writeReply();
            assertThat(first.join().body()).isEqualTo("ok");
            assertThat(busy.isClosedByClient()).isTrue();

            CompletableFuture<HttpReply> later = sendRequest(requester, address);
            ServerConnection reopened = new ServerConnection(server.accept());
            reopened.readRequest();
            reopened.writeReply();
            assertThat(later.join().body()).isEqualTo("ok");
        } finally {
            requester.close();
        }
    }

    private static CompletableFuture<HttpReply> sendRequest(HttpRequester requester, InetSocketAddress address) {
        return requester.send(address, HttpCall.get("/", Duration.ofSeconds(5)));
    }

    private static final class ServerConnection {
        private final Socket socket;
        private final BufferedReader in;

        private ServerConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(3000);
            this.in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        }

        private void readRequest() throws IOException {
            String line = in.readLine();
            while (line != null && !line.isEmpty()) {
                line = in.readLine();
            }
        }

        private void writeReply() throws IOException {
            socket.getOutputStream().write(REPLY.getBytes(StandardCharsets.US_ASCII));
        }

        private boolean isClosedByClient() throws IOException {
            return in.read() == -1;
        }
    }
}
