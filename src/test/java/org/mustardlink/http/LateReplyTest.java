package org.mustardlink.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

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
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

final class LateReplyTest {
    /** Guards against calls that wait for ever, and against a late reply that is taken for that of a later call. */
    @Test
    void a_call_without_a_reply_times_out_and_its_connection_is_not_used_again() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls())) {
            InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
            CompletableFuture<HttpReply> slow = requester.send(address, HttpCall.get("/slow", Duration.ofMillis(300)));
            Socket silent = server.accept();
            silent.setSoTimeout(5_000);
            BufferedReader requests = readerOf(silent);
            readRequest(requests);

            CompletionException failure = assertThrows(CompletionException.class, slow::join);
            assertThat(((CodedException) failure.getCause()).code()).isEqualTo(ErrorCode.TIMED_OUT);
            CompletableFuture<HttpReply> later =
                    requester.send(address, HttpCall.get("/later", Duration.ofSeconds(10)));
            assertThat(requests.read()).isEqualTo(-1);
            writeReply(silent, "late");
            try (Socket replacement = server.accept()) {
                readRequest(readerOf(replacement));
                writeReply(replacement, "mine");
                assertThat(later.join().body()).isEqualTo("mine");
            }
            silent.close();
        }
    }

    private static BufferedReader readerOf(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static void readRequest(BufferedReader requests) throws IOException {
        String line = requests.readLine();
        while (line != null && !line.isEmpty()) {
            line = requests.readLine();
        }
    }

    private static void writeReply(Socket socket, String body) throws IOException {
        String reply = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(reply.getBytes(StandardCharsets.US_ASCII));
    }
}
