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
 * A TCP proxy on loopback that can delay, close, reset or silence the connections that it forwards. Thread-safe.
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
     * Starts a proxy on a free port.
     *
     * @param destination address to which connections are forwarded
     * @throws IOException if no port is free
     */
    public static FaultInjectingProxy start(InetSocketAddress destination) throws IOException {
        FaultInjectingProxy proxy =
                new FaultInjectingProxy(new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()), destination);
        proxy.acceptor = startThread(proxy::acceptConnections);
        return proxy;
    }

    /** Returns the address on which the proxy listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Changes the destination of connections opened from now on. */
    public void redirectTo(InetSocketAddress newDestination) {
        destination = newDestination;
    }

    /** Sets a function that rewrites the first bytes sent by the client on each connection opened from now on. */
    public void rewriteFirstBytes(UnaryOperator<byte[]> rewrite) {
        firstBytesRewrite = rewrite;
    }

    /** Permanently stops forwarding data on the connections open now, without closing them; new ones are not affected. */
    public void silenceOpenConnections() {
        connections.forEach(ProxiedConnection::silence);
    }

    /** Resets the connections open now; new connections are not affected. */
    public void resetOpenConnections() {
        connections.forEach(ProxiedConnection::reset);
    }

    /** Closes every open connection, and every new connection until {@link #clearFaults}. */
    public void cutConnections() {
        refusesConnections = true;
        connections.forEach(ProxiedConnection::close);
    }

    /** Drops the data sent by clients towards the destination. */
    public void dropForwardData() {
        dropsForwardData = true;
    }

    /** Drops the data sent by the destination towards clients. */
    public void dropBackwardData() {
        dropsBackwardData = true;
    }

    /** Delays the data in both directions. Each piece of data also waits for those before it. */
    public void delayData(Duration newDelay) {
        delay = newDelay;
    }

    /**
     * Ends the delay, the dropping of data and the refusal of connections. If data was dropped, closes all open
     * connections, because their streams may lack data.
     */
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
        // The kernel accepts connections until the thread has returned from its accept call.
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
                // The proxy was closed.
            }
        }
    }

    private void connectUpstream(Socket client) throws IOException {
        Socket upstream;
        try {
            upstream = new Socket(destination.getAddress(), destination.getPort());
        } catch (IOException e) {
            // The destination is down; the client sees its connection closed.
            client.close();
            return;
        }
        client.setTcpNoDelay(true);
        upstream.setTcpNoDelay(true);
        ProxiedConnection connection = new ProxiedConnection(client, upstream);
        connections.add(connection);
        Thread _forwardThread = startThread(() -> connection.forwardData(client, upstream, firstBytesRewrite, true));
        Thread _backwardThread =
                startThread(() -> connection.forwardData(upstream, client, UnaryOperator.identity(), false));
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
            // The resource is not used any more, so a failed close has no consequences.
        }
    }

    private final class ProxiedConnection {
        private final Socket client;
        private final Socket upstream;
        private volatile boolean isSilenced;

        private ProxiedConnection(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }

        private void silence() {
            isSilenced = true;
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
                    if (!isSilenced && !(isForward ? dropsForwardData : dropsBackwardData)) {
                        byte[] data = new byte[byteCount];
                        System.arraycopy(buffer, 0, data, 0, byteCount);
                        out.write(rewrite.apply(data));
                    }
                    rewrite = UnaryOperator.identity();
                }
            } catch (IOException e) {
                // The thread of the other direction closed the connection.
            }
            if (!isSilenced) {
                close();
            }
        }

        private void reset() {
            try {
                // With a linger time of 0, closing sends a reset.
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
