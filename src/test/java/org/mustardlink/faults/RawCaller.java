package org.mustardlink.faults;

import com.google.common.base.Strings;
import com.google.common.io.ByteStreams;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Sends requests and frames that no correct caller or entry host sends. */
final class RawCaller {
    private static final int TIMEOUT_MS = 3000;

    private RawCaller() {}

    /** Sends a job document and returns the answer. */
    static String post(InetSocketAddress address, String body) throws IOException {
        String head = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + body.length()
                + "\r\n\r\n";
        return exchange(address, head + body);
    }

    /** Sends a request and returns all data received until the connection is closed. */
    static String exchange(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = connect(address)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(ByteStreams.toByteArray(socket.getInputStream()), StandardCharsets.US_ASCII);
        }
    }

    /** Sends the beginning of a request and returns the open connection. */
    static Socket startIncompleteRequest(InetSocketAddress address) throws IOException {
        Socket socket = connect(address);
        String head = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n{";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Sends the length of a Thrift frame and its first bytes, and returns the open connection. */
    static Socket startFrame(InetSocketAddress address, int length) throws IOException {
        Socket socket = connect(address);
        socket.getOutputStream()
                .write(ByteBuffer.allocate(12).putInt(length).putLong(-1).array());
        return socket;
    }

    /** Returns whether the peer closes the connection. */
    static boolean isClosed(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        try {
            return in.read() < 0;
        } catch (IOException e) {
            return e.getMessage().contains("reset");
        }
    }

    /** Returns a job document with one invalid part, or text that is no job document. */
    static String malformedDocument(String defect, String session) {
        String job = "{\"submission\":{\"session\":\"" + session + "\",\"sequence\":1},\"service\":\"yard\","
                + "\"team\":\"clerks\",\"deadlineMs\":500,\"tasks\":[{\"payload\":\"x\",\"declaredMs\":5}]}";
        String host = session.substring(0, session.indexOf('~'));
        String incarnation = session.substring(0, session.lastIndexOf('~'));
        return switch (defect) {
            case "nothing" -> "";
            case "truncated JSON" -> "{\"submission\":";
            case "deeply nested JSON" -> Strings.repeat("[", 5000);
            case "no submission id" -> job.replace("submission", "other");
            case "an id and a key" -> job.replace("{\"sub", "{\"key\":\"1-aaaaaaaa\",\"sub");
            case "a malformed key" -> job.replaceFirst("\"submission\":\\{[^}]*}", "\"key\":\"today-aaaaaaaa\"");
            case "a malformed session" -> job.replace(session, "x");
            case "a session of an unknown host" -> job.replace(host + '~', "nobody~");
            case "a session that was never opened" -> job.replace(session, incarnation + "~zz");
            case "a session of a later incarnation" -> job.replace(session, host + "~1y2p0ij32e8e7~0");
            case "a negative sequence number" -> job.replace("\"sequence\":1", "\"sequence\":-1");
            case "a sequence number out of range" -> job.replace("\"sequence\":1", "\"sequence\":1048576");
            case "a negative deadline" -> job.replace("500", "-1");
            case "a deadline of zero" -> job.replace("500", "0");
            case "an excessive deadline" -> job.replace("500", Long.toString(Long.MAX_VALUE));
            case "no tasks" -> job.replaceFirst("\\[.*]", "[]");
            case "211 tasks" ->
                job.replaceFirst(
                        "\\[.*]",
                        "[" + Strings.repeat("{\"declaredMs\":5,\"payload\":\"x\"},", 210) + "{"
                                + "\"declaredMs\":5,\"payload\":\"x\"}]");
            case "an overlong team name" -> job.replace("clerks", Strings.repeat("c", 5000));
            default -> throw new IllegalArgumentException(defect);
        };
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }
}
