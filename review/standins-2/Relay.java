import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP relay on loopback for one network path. While the path is cut, the relay holds all bytes back and delivers them
 * after the cut, as a network partition does.
 */
final class Relay implements AutoCloseable {
    private static final int BUFFER_BYTES = 16_384;

    private final ServerSocket server;
    private final InetSocketAddress destination;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    /** Replaces an address in the first bytes of a connection, which introduce the sender with its own address. */
    private volatile String ownAddress = "";

    private volatile String shownAddress = "";
    private boolean cut;
    private volatile String delayedText = "";
    private volatile long delayMs;

    private Relay(ServerSocket server, InetSocketAddress destination) {
        this.server = server;
        this.destination = destination;
    }

    static Relay start(InetSocketAddress destination) throws IOException {
        Relay relay = new Relay(new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1")), destination);
        run(relay::acceptConnections);
        return relay;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Shows the receiver another address of the sender, so that connections in the other direction use a relay too. */
    void showAddress(String own, String shown) {
        ownAddress = own;
        shownAddress = shown;
    }

    /** Delays each answer that contains a text; those on other connections overtake it. */
    void delayAnswers(String text, long millis) {
        delayMs = millis;
        delayedText = text;
    }

    synchronized void cut() {
        cut = true;
    }

    synchronized void heal() {
        cut = false;
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private static void run(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                Socket client = server.accept();
                sockets.add(client);
                run(() -> connect(client));
            } catch (IOException e) {
                // The relay was closed.
            }
        }
    }

    private void connect(Socket client) {
        try {
            awaitPath();
            Socket upstream = new Socket(destination.getAddress(), destination.getPort());
            sockets.add(upstream);
            client.setTcpNoDelay(true);
            upstream.setTcpNoDelay(true);
            run(() -> forward(client, upstream, true));
            run(() -> forward(upstream, client, false));
        } catch (IOException e) {
            // The destination refuses connections; the client sees its connection closed.
            close(client);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void forward(Socket from, Socket to, boolean introduces) {
        byte[] buffer = new byte[BUFFER_BYTES];
        boolean first = introduces;
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitPath();
                String data = new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
                if (!introduces && !delayedText.isEmpty() && data.contains(delayedText)) {
                    Thread.sleep(delayMs);
                }
                out.write((first && !ownAddress.isEmpty() ? data.replace(ownAddress, shownAddress) : data)
                        .getBytes(StandardCharsets.ISO_8859_1));
                first = false;
            }
            awaitPath();
        } catch (IOException e) {
            // The other direction has closed the connection, or one of its ends has.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(from);
        close(to);
    }

    private void close(Socket socket) {
        sockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is not used any more.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        heal();
        sockets.forEach(this::close);
    }
}
