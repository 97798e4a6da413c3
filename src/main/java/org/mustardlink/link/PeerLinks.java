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
 * The connections to all other dispatch hosts. Thread-safe.
 *
 * <p>Each host sends only on connections that it has opened and receives only on connections opened by others. A
 * message to a host without an open connection is dropped, and so are messages that arrive on a connection that its
 * sender has replaced.
 */
public final class PeerLinks implements AutoCloseable {
    /** Maximum frame size. A job's payload is at most 256 KiB, which leaves room for its steps. */
    private static final int MAX_FRAME_BYTES = 1 << 20;
    /** Maximum bytes queued for a peer that does not read; the connection is replaced when the limit is exceeded. */
    private static final int MAX_PENDING_BYTES = 2 << 20;
    /**
     * Time after which a connection attempt is abandoned and repeated; limits the delay caused by a lost SYN packet.
     */
    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Minimum time between the starts of two connection attempts to a host. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final int LENGTH_PREFIX_BYTES = Integer.BYTES;
    private static final Attribute<HostInfo> SENDER =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("mustardlink.link.sender");

    private final HostInfo self;
    private final PeerListener listener;
    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler connector;
    private final Map<String, OutboundLink> outbound = new ConcurrentHashMap<>();
    private final AtomicLong lastConnectionNumber = new AtomicLong();
    private final InboundConnections inbound = new InboundConnections();

    private static final class OutboundLink {
        private final HostInfo host;
        private volatile Connection<?> connection;
        private volatile boolean connecting;
        private volatile long lastAttemptNanos;
        private volatile boolean closed;

        private OutboundLink(HostInfo host) {
            this.host = host;
            this.lastAttemptNanos = System.nanoTime() - RETRY_DELAY_NANOS;
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
     * Starts listening on this host's address.
     *
     * @param self this host
     * @param listener receives messages and connection events
     * @throws CodedException if the address cannot be bound
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

    /**
     * Maintains a connection to a host from now on; a different incarnation of a known host replaces the earlier one.
     */
    public void addPeer(HostInfo host) {
        OutboundLink known = outbound.get(host.id());
        if (known != null && known.host.incarnation() == host.incarnation()) {
            return;
        }
        if (known != null) {
            closeLink(known);
        }
        outbound.put(host.id(), new OutboundLink(host));
        openMissingConnections(System.nanoTime());
    }

    /** Closes the connection to a host; {@link #openMissingConnections} opens a new one. */
    public void reconnect(String host) {
        OutboundLink link = outbound.get(host);
        if (link != null && link.connection != null) {
            Connection<?> old = link.connection;
            link.connection = null;
            old.terminateSilently();
        }
    }

    private static void closeLink(OutboundLink link) {
        link.closed = true;
        Connection<?> old = link.connection;
        if (old != null) {
            old.terminateSilently();
        }
    }

    /** Opens a connection to each host that has none, unless the last attempt is too recent. */
    public void openMissingConnections(long nowNanos) {
        for (OutboundLink link : outbound.values()) {
            boolean open = link.connection != null && link.connection.isOpen();
            boolean tooEarly =
                    nowNanos - link.lastAttemptNanos < (link.connecting ? CONNECT_TIMEOUT_NANOS : RETRY_DELAY_NANOS);
            if (!open && !tooEarly) {
                connect(link, nowNanos);
            }
        }
    }

    @SuppressWarnings("RawTypes")
    private void connect(OutboundLink link, long nowNanos) {
        link.connecting = true;
        link.lastAttemptNanos = nowNanos;
        InetSocketAddress address = Addresses.parse(link.host.address());
        connector.connect(address, new EmptyCompletionHandler<Connection>() {
            @Override
            public void completed(Connection connection) {
                if (link.closed || link.lastAttemptNanos != nowNanos) {
                    connection.terminateSilently();
                    return;
                }
                link.connecting = false;
                write(connection, new PeerMessage.Hello(self, lastConnectionNumber.incrementAndGet()));
                link.connection = connection;
                listener.onConnected(link.host.id());
            }

            @Override
            public void failed(Throwable cause) {
                link.connecting = false;
                if (cause instanceof ConnectException && !link.closed) {
                    listener.onConnectionRefused(link.host.id());
                }
            }
        });
    }

    /** Sends a message to a host; the message is dropped if there is no open connection. */
    public void send(String host, PeerMessage message) {
        OutboundLink link = outbound.get(host);
        if (link != null && link.connection != null && link.connection.isOpen()) {
            write(link.connection, message);
        }
    }

    @SuppressWarnings("unchecked")
    private static void write(Connection<?> connection, PeerMessage message) {
        byte[] body = PeerCodec.encode(message);
        byte[] frame = new byte[LENGTH_PREFIX_BYTES + body.length];
        System.arraycopy(Ints.toByteArray(body.length), 0, frame, 0, LENGTH_PREFIX_BYTES);
        System.arraycopy(body, 0, frame, LENGTH_PREFIX_BYTES, body.length);
        ((Connection<SocketAddress>) connection)
                .write(Buffers.wrap(null, frame), new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void failed(Throwable _cause) {
                        // The connection is opened again, and senders repeat the messages that matter.
                        connection.terminateSilently();
                    }
                });
    }

    @Override
    public void close() {
        outbound.values().forEach(PeerLinks::closeLink);
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot stop the peer connections", e);
        }
    }

    private final class FrameFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            Buffer buffer = context.getMessage();
            Connection<?> connection = context.getConnection();
            while (buffer.remaining() >= LENGTH_PREFIX_BYTES) {
                int length = buffer.getInt(buffer.position());
                if (length <= 0 || length > MAX_FRAME_BYTES) {
                    listener.onMalformedFrame("invalid frame length: " + length + " bytes");
                    connection.terminateSilently();
                    return context.getStopAction();
                }
                if (buffer.remaining() < LENGTH_PREFIX_BYTES + length) {
                    return context.getStopAction(buffer);
                }
                buffer.position(buffer.position() + LENGTH_PREFIX_BYTES);
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
                // The sender uses another protocol or version; the calling method closes the connection.
                listener.onMalformedFrame(e.getMessage());
                return false;
            }
            if (message instanceof PeerMessage.Hello hello) {
                SENDER.set(connection, hello.sender());
            }
            HostInfo sender = SENDER.get(connection);
            if (sender == null) {
                listener.onMalformedFrame("a message arrived before the hello message");
                return false;
            }
            if (!inbound.accepts(connection, sender, message)) {
                return false;
            }
            listener.onMessage(sender, message);
            return true;
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            HostInfo sender = SENDER.get(context.getConnection());
            if (sender != null) {
                listener.onInboundConnectionClosed(sender);
            }
            return context.getInvokeAction();
        }
    }
}
