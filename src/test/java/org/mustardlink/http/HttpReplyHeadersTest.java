package org.mustardlink.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.io.ByteStreams;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class HttpReplyHeadersTest {
    private static final String REPLY = "HTTP/1.1 200 OK\r\nX-Twice: first\r\ncontent-length: 2\r\nx-TWICE: second\r\n"
            + "Connection: close\r\nX-Empty:\r\n\r\nok";

    /** Guards against headers that are lost, have the value of another one, or depend on the case of their names. */
    @Test
    void the_headers_of_a_reply_have_lower_case_names_and_the_first_of_two_values() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls())) {
            Thread serverThread = new Thread(() -> replyOnce(server));
            serverThread.setDaemon(true);
            serverThread.start();

            HttpReply reply = requester
                    .send(
                            new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                            HttpCall.get("/", Duration.ofSeconds(10)))
                    .join();

            assertThat(reply.body()).isEqualTo("ok");
            assertThat(reply.headers())
                    .containsExactly("x-twice", "first", "content-length", "2", "connection", "close", "x-empty", "");
            assertThat(reply.header("X-TWICE")).hasValue("first");
        }
    }

    private static void replyOnce(ServerSocket server) {
        try (Socket socket = server.accept();
                InputStream in = socket.getInputStream()) {
            int lastByte = 0;
            // The request has no body, so it ends with the first empty line.
            for (int lineEndBytes = 0;
                    lineEndBytes < 4 && lastByte >= 0;
                    lineEndBytes = (lastByte == '\r' || lastByte == '\n') ? lineEndBytes + 1 : 0) {
                lastByte = in.read();
            }
            socket.getOutputStream().write(REPLY.getBytes(StandardCharsets.US_ASCII));
            long _rest = ByteStreams.exhaust(in);
        } catch (IOException e) {
            throw new AssertionError("the test server failed", e);
        }
    }
}
