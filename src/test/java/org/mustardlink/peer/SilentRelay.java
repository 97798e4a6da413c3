package org.mustardlink.peer;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** TCP relay in front of one host that can silently discard everything sent to the host. */
final class SilentRelay implements AutoCloseable {
    private final ServerSocket server;
    private volatile HostAndPort destination = HostAndPort.fromParts("127.0.0.1", 1);
    private volatile boolean discardInbound;

    private SilentRelay(ServerSocket server) {
        this.server = server;
    }

    static SilentRelay start() throws IOException {
        SilentRelay relay = new SilentRelay(new ServerSocket(0, 100, InetAddress.getLoopbackAddress()));
        startThread(relay::acceptConnections);
        return relay;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    void setDestination(String address) {
        destination = HostAndPort.fromString(address);
    }

    void startDiscarding() {
        discardInbound = true;
    }

    void stopDiscarding() {
        discardInbound = false;
    }

    @Override
    public void close() {
        closeQuietly(server);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                Socket inbound = server.accept();
                Socket outbound = new Socket(destination.getHost(), destination.getPort());
                startThread(() -> forward(inbound, outbound, true));
                startThread(() -> forward(outbound, inbound, false));
            } catch (IOException e) {
                // The destination does not accept connections yet, or the relay was closed.
            }
        }
    }

    private void forward(Socket from, Socket to, boolean isInbound) {
        byte[] buffer = new byte[4096];
        try {
            for (int n = from.getInputStream().read(buffer);
                    n >= 0;
                    n = from.getInputStream().read(buffer)) {
                if (!(isInbound && discardInbound)) {
                    to.getOutputStream().write(buffer, 0, n);
                }
            }
        } catch (IOException e) {
            // The other direction closed the connection.
        }
        closeQuietly(from);
        closeQuietly(to);
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            // A resource that cannot be closed is abandoned.
        }
    }
}
