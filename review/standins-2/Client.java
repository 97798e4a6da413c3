import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller: each call uses a connection of its own. */
final class Client {
    private Client() {}

    /**
     * A response.
     *
     * @param status the status; 0 if the connection broke, -1 if no response came in time
     */
    record Response(int status, String body) {}

    static Response get(int port, String path, int timeoutMs) {
        return call(port, "GET", path, "", timeoutMs);
    }

    static Response post(int port, String path, String body, int timeoutMs) {
        return call(port, "POST", path, body, timeoutMs);
    }

    static Response delete(int port, String path, int timeoutMs) {
        return call(port, "DELETE", path, "", timeoutMs);
    }

    static byte[] request(String method, String path, String body, int deadlineMs) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.VIRTUAL_HOST
                + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " + deadlineMs + "\r\nContent-Length: "
                + bytes.length + "\r\nConnection: close\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }

    private static Response call(int port, String method, String path, String body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.getOutputStream().write(request(method, path, body, timeoutMs));
            return read(socket.getInputStream());
        } catch (java.net.SocketTimeoutException e) {
            return new Response(-1, "");
        } catch (IOException e) {
            return new Response(0, e.toString());
        }
    }

    static Response read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            bytes.write(next);
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            int head = text.indexOf("\r\n\r\n");
            if (head >= 0) {
                java.util.regex.Matcher length =
                        java.util.regex.Pattern.compile("(?i)content-length: *(\\d+)").matcher(text.substring(0, head));
                int expected = length.find() ? Integer.parseInt(length.group(1)) : 0;
                if (text.length() >= head + 4 + expected) {
                    return new Response(Integer.parseInt(text.substring(9, 12)), text.substring(head + 4));
                }
            }
        }
        return new Response(0, bytes.toString(StandardCharsets.ISO_8859_1));
    }
}
