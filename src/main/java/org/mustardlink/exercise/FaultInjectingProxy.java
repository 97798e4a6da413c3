package org.mustardlink.exercise;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/**
 * Forwards TCP connections on loopback and can delay, cut, reset or silence them. Thread-safe.
 *
 * <p>Two threads serve each connection, which is enough for the few hundred connections of a test deployment.
 */
public final class FaultInjectingProxy implements AutoCloseable {
    private static final int BACKLOG = 100;
    private static final int BUFFER_BYTES = 8192;

    private final ServerSocket server;
    private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile InetSocketAddress destination;
    private volatile UnaryOperator<byte[]> firstBytesRewrite = UnaryOperator.identity();
    private volatile boolean refusesConnections;
    private volatile boolean dropsForwardData;
    private volatile boolean dropsBackwardData;
    private volatile Duration delay = Duration.ZERO;
    private Thread acceptor;

    private FaultInjectingProxy(ServerSocket server, InetSocketAddress destination) {
        this.server = server;
        this.destination = destination;
    }

    /**
     * Starts a relay on a free port.
     *
     * @param destination where connections are forwarded to
     * @throws IOException if no port is free
     */
    public static FaultInjectingProxy start(InetSocketAddress destination) throws IOException {
        FaultInjectingProxy relay =
                new FaultInjectingProxy(new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()), destination);
        relay.acceptor = startThread(relay::acceptConnections);
        return relay;
    }

    /** Returns where the relay listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Forwards connections that are opened from now on to another address. */
    public void redirectTo(InetSocketAddress newDestination) {
        destination = newDestination;
    }

    /** Changes the first bytes that the connecting side sends on each connection opened from now on. */
    public void rewriteFirstBytes(UnaryOperator<byte[]> rewrite) {
        firstBytesRewrite = rewrite;
    }

    /** Lets the connections that are open now go silent for good; new ones work. */
    public void silenceOpenConnections() {
        connections.forEach(ProxiedConnection::silence);
    }

    /** Resets the connections that are open now; new ones work. */
    public void resetOpenConnections() {
        connections.forEach(ProxiedConnection::reset);
    }

    /** Closes every connection and every new one. */
    public void cutConnections() {
        refusesConnections = true;
        connections.forEach(ProxiedConnection::close);
    }

    /** Drops what is sent towards the destination. */
    public void dropForwardData() {
        dropsForwardData = true;
    }

    /** Drops what the destination sends. */
    public void dropBackwardData() {
        dropsBackwardData = true;
    }

    /** Delays what is sent in either direction; each piece of data waits for those before it. */
    public void delayData(Duration newDelay) {
        delay = newDelay;
    }

    /** Forwards everything again. Connections on which data was dropped are closed, as their stream has a hole. */
    public void clearFaults() {
        boolean droppedData = dropsForwardData || dropsBackwardData;
        refusesConnections = false;
        dropsForwardData = false;
        dropsBackwardData = false;
        delay = Duration.ZERO;
        if (droppedData) {
            connections.forEach(ProxiedConnection::close);
        }
    }

    @Override
    public void close() {
        cutConnections();
        closeQuietly(server);
        // The kernel goes on accepting until the thread has left its accept call.
        Uninterruptibles.joinUninterruptibly(acceptor);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                if (refusesConnections) {
                    client.close();
                    continue;
                }
                connectUpstream(client);
            } catch (IOException e) {
                // The relay was closed.
            }
        }
    }

    private void connectUpstream(Socket client) throws IOException {
        Socket upstream;
        try {
            upstream = new Socket(destination.getAddress(), destination.getPort());
        } catch (IOException e) {
            // The destination is down; the connecting side sees the end of its connection.
            client.close();
            return;
        }
        client.setTcpNoDelay(true);
        upstream.setTcpNoDelay(true);
        ProxiedConnection connection = new ProxiedConnection(client, upstream);
        connections.add(connection);
        Thread _out = startThread(() -> connection.forwardData(client, upstream, firstBytesRewrite, true));
        Thread _back = startThread(() -> connection.forwardData(upstream, client, UnaryOperator.identity(), false));
    }

    private static Thread startThread(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            // Nothing is left to do with it.
        }
    }

    private final class ProxiedConnection {
        private final Socket client;
        private final Socket upstream;
        private volatile boolean silent;

        private ProxiedConnection(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }

        private void silence() {
            silent = true;
        }

        private void forwardData(Socket from, Socket to, UnaryOperator<byte[]> firstRewrite, boolean isForward) {
            byte[] buffer = new byte[BUFFER_BYTES];
            UnaryOperator<byte[]> rewrite = firstRewrite;
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int byteCount = in.read(buffer); byteCount >= 0; byteCount = in.read(buffer)) {
                    if (!delay.isZero()) {
                        Uninterruptibles.sleepUninterruptibly(delay);
                    }
                    if (!silent && !(isForward ? dropsForwardData : dropsBackwardData)) {
                        byte[] data = new byte[byteCount];
                        System.arraycopy(buffer, 0, data, 0, byteCount);
                        out.write(rewrite.apply(data));
                    }
                    rewrite = UnaryOperator.identity();
                }
            } catch (IOException e) {
                // The other direction closed the link.
            }
            if (!silent) {
                close();
            }
        }

        private void reset() {
            try {
                // Without lingering, closing sends a reset.
                client.setSoLinger(true, 0);
                upstream.setSoLinger(true, 0);
            } catch (IOException e) {
                // Already closed.
            }
            close();
        }

        private void close() {
            closeQuietly(client);
            closeQuietly(upstream);
            connections.remove(this);
        }
    }
}
