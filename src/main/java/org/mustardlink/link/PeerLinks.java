package org.mustardlink.link;

import com.google.common.primitives.Ints;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.IoThreads;
import org.mustardlink.ownership.HostInfo;

/**
 * The links to all other entry hosts. Thread-safe.
 *
 * <p>Each host sends on connections that it has opened and only receives on those of others. A message to a host without
 * an open connection is dropped, and so is what arrives on a connection that its sender has replaced.
 */
public final class PeerLinks implements AutoCloseable {
    /** Largest frame: a job's payload is at most 256 KiB, and its steps fit beside it. */
    private static final int MAX_FRAME_BYTES = 1 << 20;
    /** Bytes that may wait for a peer that doesn't read; beyond it the connection is replaced. */
    private static final int MAX_PENDING_BYTES = 2 << 20;
    /** A connection that isn't open after this long is tried anew; a lost opening packet costs no more. */
    private static final long CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Pause between attempts to reach a host. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final Attribute<HostInfo> SENDER =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("mustardlink.link.sender");

    private final HostInfo self;
    private final PeerListener listener;
    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler connector;
    private final Map<String, Outbound> outbound = new ConcurrentHashMap<>();
    private final AtomicLong connectionNumbers = new AtomicLong();
    private final InboundConnections inbound = new InboundConnections();

    private static final class Outbound {
        private final HostInfo host;
        private volatile Connection<?> connection;
        private volatile boolean connecting;
        private volatile long attemptNanos;
        private volatile boolean dropped;

        private Outbound(HostInfo host) {
            this.host = host;
            this.attemptNanos = System.nanoTime() - RETRY_NANOS;
        }
    }

    private PeerLinks(HostInfo self, PeerListener listener) {
        this.self = self;
        this.listener = listener;
        transport = TCPNIOTransportBuilder.newInstance()
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(IoThreads.newPoolConfig("links", 1))
                .setTcpNoDelay(true)
                .build();
        transport.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new FrameFilter())
                .build());
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(MAX_PENDING_BYTES);
        connector = TCPNIOConnectorHandler.builder(transport).build();
    }

    /**
     * Starts to listen on the host's own address.
     *
     * @param self this host
     * @param listener hears what arrives
     * @throws CodedException if the address can't be bound
     */
    public static PeerLinks start(HostInfo self, PeerListener listener) {
        PeerLinks links = new PeerLinks(self, listener);
        try {
            InetSocketAddress address = Addresses.parse(self.address());
            links.transport.bind(address.getAddress().getHostAddress(), address.getPort());
            links.transport.start();
        } catch (IOException e) {
            throw new CodedException(ErrorCode.BAD_SETTINGS, "cannot listen on " + self.address(), e);
        }
        return links;
    }

    /** Starts to keep a link to a host; another life of a known host replaces the earlier one. */
    public void add(HostInfo host) {
        Outbound known = outbound.get(host.id());
        if (known != null && known.host.incarnation() == host.incarnation()) {
            return;
        }
        if (known != null) {
            drop(known);
        }
        outbound.put(host.id(), new Outbound(host));
        tick(System.nanoTime());
    }

    /** Closes the connection to a host; {@link #tick} opens another one. */
    public void replace(String host) {
        Outbound link = outbound.get(host);
        if (link != null && link.connection != null) {
            Connection<?> old = link.connection;
            link.connection = null;
            old.terminateSilently();
        }
    }

    private static void drop(Outbound link) {
        link.dropped = true;
        Connection<?> old = link.connection;
        if (old != null) {
            old.terminateSilently();
        }
    }

    /** Opens the connections that are missing. */
    public void tick(long now) {
        for (Outbound link : outbound.values()) {
            boolean open = link.connection != null && link.connection.isOpen();
            boolean waiting = now - link.attemptNanos < (link.connecting ? CONNECT_NANOS : RETRY_NANOS);
            if (!open && !waiting) {
                connect(link, now);
            }
        }
    }

    @SuppressWarnings("RawTypes")
    private void connect(Outbound link, long now) {
        link.connecting = true;
        link.attemptNanos = now;
        InetSocketAddress address = Addresses.parse(link.host.address());
        connector.connect(address, new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
                if (link.dropped || link.attemptNanos != now) {
                    connection.terminateSilently();
                    return;
                }
                link.connecting = false;
                write(connection, new PeerMessage.Hello(self, connectionNumbers.incrementAndGet()));
                link.connection = connection;
                listener.connected(link.host.id());
            }

            @Override
            public void failed(Throwable cause) {
                link.connecting = false;
                if (cause instanceof ConnectException && !link.dropped) {
                    listener.refused(link.host.id());
                }
            }
        });
    }

    /** Sends a message to a host; it is lost if there is no open connection. */
    public void send(String host, PeerMessage message) {
        Outbound link = outbound.get(host);
        if (link != null && link.connection != null && link.connection.isOpen()) {
            write(link.connection, message);
        }
    }

    @SuppressWarnings("unchecked")
    private static void write(Connection<?> connection, PeerMessage message) {
        byte[] body = PeerCodec.encode(message);
        byte[] frame = new byte[LENGTH_BYTES + body.length];
        System.arraycopy(Ints.toByteArray(body.length), 0, frame, 0, LENGTH_BYTES);
        System.arraycopy(body, 0, frame, LENGTH_BYTES, body.length);
        ((Connection<SocketAddress>) connection)
                .write(Buffers.wrap(null, frame), new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void failed(Throwable _cause) {
                        // The link is opened anew, and its users repeat what matters.
                        connection.terminateSilently();
                    }
                });
    }

    @Override
    public void close() {
        outbound.values().forEach(PeerLinks::drop);
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot stop the links", e);
        }
    }

    private final class FrameFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Buffer buffer = context.getMessage();
            Connection<?> connection = context.getConnection();
            while (buffer.remaining() >= LENGTH_BYTES) {
                int length = buffer.getInt(buffer.position());
                if (length <= 0 || length > MAX_FRAME_BYTES) {
                    listener.malformed("a frame of " + length + " bytes");
                    connection.terminateSilently();
                    return context.getStopAction();
                }
                if (buffer.remaining() < LENGTH_BYTES + length) {
                    return context.getStopAction(buffer);
                }
                buffer.position(buffer.position() + LENGTH_BYTES);
                byte[] body = new byte[length];
                buffer.get(body);
                if (!deliver(connection, body)) {
                    connection.terminateSilently();
                    return context.getStopAction();
                }
            }
            return buffer.hasRemaining() ? context.getStopAction(buffer) : context.getStopAction();
        }

        private boolean deliver(Connection<?> connection, byte[] body) {
            PeerMessage message;
            try {
                message = PeerCodec.decode(body);
            } catch (CodedException e) {
                // A sender of another protocol or version; the caller closes its connection.
                listener.malformed(e.getMessage());
                return false;
            }
            if (message instanceof PeerMessage.Hello hello) {
                SENDER.set(connection, hello.sender());
                if (!inbound.introduced(connection, hello)) {
                    return false;
                }
            }
            HostInfo sender = SENDER.get(connection);
            if (sender == null) {
                listener.malformed("a message before the sender has introduced itself");
                return false;
            }
            if (!inbound.isNewest(connection, sender)) {
                return false;
            }
            listener.received(sender, message);
            return true;
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            HostInfo sender = SENDER.get(context.getConnection());
            if (sender != null) {
                listener.closed(sender);
            }
            return context.getInvokeAction();
        }
    }
}
