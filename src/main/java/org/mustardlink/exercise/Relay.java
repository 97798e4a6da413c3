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
public final class Relay implements AutoCloseable {
    private static final int BACKLOG = 100;
    private static final int BUFFER_BYTES = 8192;

    private final ServerSocket server;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile InetSocketAddress destination;
    private volatile UnaryOperator<byte[]> greeting = UnaryOperator.identity();
    private volatile boolean cut;
    private volatile boolean deaf;
    private volatile boolean mute;
    private volatile Duration delay = Duration.ZERO;
    private Thread acceptor;

    private Relay(ServerSocket server, InetSocketAddress destination) {
        this.server = server;
        this.destination = destination;
    }

    /**
     * Starts a relay on a free port.
     *
     * @param destination where connections are forwarded to
     * @throws IOException if no port is free
     */
    public static Relay to(InetSocketAddress destination) throws IOException {
        Relay relay = new Relay(new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()), destination);
        relay.acceptor = run(relay::accept);
        return relay;
    }

    /** Returns where the relay listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Forwards connections that are opened from now on to another address. */
    public void pointTo(InetSocketAddress other) {
        destination = other;
    }

    /** Changes the first bytes that the connecting side sends on each connection opened from now on. */
    public void rewriteGreeting(UnaryOperator<byte[]> rewrite) {
        greeting = rewrite;
    }

    /** Lets the connections that are open now go silent for good; new ones work. */
    public void silenceOpen() {
        links.forEach(Link::silence);
    }

    /** Resets the connections that are open now; new ones work. */
    public void resetOpen() {
        links.forEach(Link::reset);
    }

    /** Closes every connection and every new one. */
    public void cut() {
        cut = true;
        links.forEach(Link::close);
    }

    /** Drops what is sent towards the destination. */
    public void dropForward() {
        deaf = true;
    }

    /** Drops what the destination sends. */
    public void dropBackward() {
        mute = true;
    }

    /** Delays what is sent in either direction; each piece of data waits for those before it. */
    public void delay(Duration changed) {
        delay = changed;
    }

    /** Forwards everything again. Connections on which data was dropped are closed, as their stream has a hole. */
    public void heal() {
        boolean dropped = deaf || mute;
        cut = false;
        deaf = false;
        mute = false;
        delay = Duration.ZERO;
        if (dropped) {
            links.forEach(Link::close);
        }
    }

    @Override
    public void close() {
        cut();
        closeQuietly(server);
        // The kernel goes on accepting until the thread has left its accept call.
        Uninterruptibles.joinUninterruptibly(acceptor);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket near = server.accept();
                if (cut) {
                    near.close();
                    continue;
                }
                connect(near);
            } catch (IOException e) {
                // The relay was closed.
            }
        }
    }

    private void connect(Socket near) throws IOException {
        Socket far;
        try {
            far = new Socket(destination.getAddress(), destination.getPort());
        } catch (IOException e) {
            // The destination is down; the connecting side sees the end of its connection.
            near.close();
            return;
        }
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Link link = new Link(near, far);
        links.add(link);
        Thread _out = run(() -> link.pump(near, far, greeting, true));
        Thread _back = run(() -> link.pump(far, near, UnaryOperator.identity(), false));
    }

    private static Thread run(Runnable task) {
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

    private final class Link {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;

        private Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        private void silence() {
            silent = true;
        }

        private void pump(Socket from, Socket to, UnaryOperator<byte[]> first, boolean forward) {
            byte[] buffer = new byte[BUFFER_BYTES];
            UnaryOperator<byte[]> rewrite = first;
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (!delay.isZero()) {
                        Uninterruptibles.sleepUninterruptibly(delay);
                    }
                    if (!silent && !(forward ? deaf : mute)) {
                        byte[] data = new byte[n];
                        System.arraycopy(buffer, 0, data, 0, n);
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
                near.setSoLinger(true, 0);
                far.setSoLinger(true, 0);
            } catch (IOException e) {
                // Already closed.
            }
            close();
        }

        private void close() {
            closeQuietly(near);
            closeQuietly(far);
            links.remove(this);
        }
    }
}
