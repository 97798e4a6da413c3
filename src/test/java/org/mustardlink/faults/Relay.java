package org.mustardlink.faults;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards TCP connections and can cut them or let them go silent. */
final class Relay implements AutoCloseable {
    private final ServerSocket server;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile InetSocketAddress destination;
    private volatile boolean cut;
    private Thread acceptor;

    private Relay(ServerSocket server, InetSocketAddress destination) {
        this.server = server;
        this.destination = destination;
    }

    static Relay to(InetSocketAddress destination) throws IOException {
        Relay relay = new Relay(new ServerSocket(0, 100, InetAddress.getLoopbackAddress()), destination);
        relay.acceptor = run(relay::accept);
        return relay;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    void pointTo(InetSocketAddress other) {
        destination = other;
    }

    /** Lets the connections that are open now go silent for good; new ones work. */
    void silenceOpen() {
        links.forEach(Link::silence);
    }

    /** Closes every connection and every new one. */
    void cut() {
        cut = true;
        links.forEach(Link::close);
    }

    void heal() {
        cut = false;
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
                Socket far = new Socket(destination.getAddress(), destination.getPort());
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Link link = new Link(near, far);
                links.add(link);
                Thread _out = run(() -> link.pump(near, far));
                Thread _back = run(() -> link.pump(far, near));
            } catch (IOException e) {
                // The destination is down or the relay was closed.
            }
        }
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

        private void pump(Socket from, Socket to) {
            byte[] buffer = new byte[8192];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    if (!silent) {
                        out.write(buffer, 0, n);
                    }
                }
            } catch (IOException e) {
                // The other direction closed the link.
            }
            if (!silent) {
                close();
            }
        }

        private void close() {
            closeQuietly(near);
            closeQuietly(far);
            links.remove(this);
        }
    }
}
