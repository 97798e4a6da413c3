package org.mustardlink.http;

import com.google.common.base.Strings;
import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/** Starts Grizzly HTTP servers with mustardlink's limits, reads request bodies and writes responses. */
public final class HttpServers {
    private static final RequestExecutorProvider WORKER_EXECUTORS = new RequestExecutorProvider.WorkerThreadProvider();
    private static final int MAX_HEADER_BYTES = 8 << 10;
    /**
     * The parser accepts more than {@link #MAX_HEADER_BYTES}, so that a request slightly beyond that limit still gets a
     * response that names the limit.
     */
    private static final int MAX_PARSED_HEADER_BYTES = 64 << 10;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    /** Largest body that the I/O thread handles itself. Parsing a larger body there would delay other connections. */
    private static final int MAX_INLINE_BODY_BYTES = 4 << 10;

    private HttpServers() {}

    /** Handles requests without blocking. */
    @FunctionalInterface
    public interface Service {
        /** Handles a request. A service that responds later must suspend the response. */
        void handle(Request request, Response response);
    }

    /**
     * Starts a server whose I/O thread itself handles a small request whose complete body has arrived, which saves the
     * handover to a worker thread. Other requests are passed to the worker threads.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param threads number of worker threads
     * @param service handler of all requests, which must not block
     * @param probes probes that observe all connections of the server
     * @throws CodedException if the address cannot be bound
     */
    public static HttpServer startNonBlocking(
            InetSocketAddress address, int threads, Service service, ConnectionProbe... probes) {
        return start(
                address,
                threads,
                new HttpHandler() {
                    @Override
                    public void service(Request request, Response response) {
                        service.handle(request, response);
                    }

                    @Override
                    public RequestExecutorProvider getRequestExecutorProvider() {
                        return request -> hasSmallCompleteBody(request) ? null : WORKER_EXECUTORS.getExecutor(request);
                    }
                },
                probes);
    }

    private static boolean hasSmallCompleteBody(Request request) {
        long length = request.getContentLengthLong();
        return length <= MAX_INLINE_BODY_BYTES
                && !request.getRequest().isChunked()
                && request.getInputBuffer().available() >= length;
    }

    /**
     * Starts a server.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param threads number of worker threads
     * @param handler handler of all requests
     * @param probes probes that observe all connections of the server
     * @throws CodedException if the address cannot be bound
     */
    public static HttpServer start(
            InetSocketAddress address, int threads, HttpHandler handler, ConnectionProbe... probes) {
        HttpServer server = new HttpServer();
        NetworkListener listener =
                new NetworkListener("http", address.getAddress().getHostAddress(), address.getPort());
        listener.setMaxHttpHeaderSize(MAX_PARSED_HEADER_BYTES);
        listener.getKeepAlive().setMaxRequestsCount(-1);
        listener.getKeepAlive().setIdleTimeoutInSeconds(60);
        listener.getTransport().getConnectionMonitoringConfig().addProbes(probes);
        listener.getTransport().setTcpNoDelay(true);
        listener.getTransport().setReadTimeout(READ_TIMEOUT.toMillis(), java.util.concurrent.TimeUnit.MILLISECONDS);
        listener.getTransport().setSelectorRunnersCount(1);
        listener.getTransport().setKernelThreadPoolConfig(IoThreads.newPoolConfig("http-server-io", 1));
        listener.getTransport().setWorkerThreadPoolConfig(IoThreads.newPoolConfig("http-server", threads));
        server.addListener(listener);
        // Without a name, Grizzly concatenates one; linking that concatenation at run time slows the start of a host.
        server.getServerConfiguration().setName("http-server");
        server.getServerConfiguration().addHttpHandler(handler, "/");
        try {
            server.start();
        } catch (IOException e) {
            throw new CodedException(ErrorCode.BAD_SETTINGS, "cannot listen on " + address, e);
        }
        return server;
    }

    /** Returns the address that a server listens on. */
    public static InetSocketAddress address(HttpServer server) {
        NetworkListener listener = server.getListener("http");
        return new InetSocketAddress(InetAddresses.forString(listener.getHost()), listener.getPort());
    }

    /**
     * Reads the complete body of a request, blocking until all of it has arrived.
     *
     * @param maxBytes maximum size of the body
     * @throws CodedException with {@link ErrorCode#BODY_TOO_LARGE} if the body is larger
     */
    public static String readBody(Request request, int maxBytes) {
        try (InputStream in = request.getInputStream()) {
            byte[] bytes = in.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new CodedException(
                        ErrorCode.BODY_TOO_LARGE, "request body exceeds the limit of " + maxBytes + " bytes");
            }
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "cannot read the request body", e);
        }
    }

    /**
     * Checks the total size of a request's path, query and headers.
     *
     * @throws CodedException with {@link ErrorCode#HEADERS_TOO_LARGE} if they exceed 8 KiB
     */
    public static void checkHeaderSize(Request request) {
        MimeHeaders headers = request.getRequest().getHeaders();
        long size = (long) request.getRequestURI().length()
                + Strings.nullToEmpty(request.getQueryString()).length();
        for (int i = 0; i < headers.size(); i++) {
            size += headers.getName(i).getLength() + headers.getValue(i).getLength();
        }
        if (size > MAX_HEADER_BYTES) {
            throw new CodedException(
                    ErrorCode.HEADERS_TOO_LARGE, "path and headers exceed the limit of " + MAX_HEADER_BYTES + " bytes");
        }
    }

    /** Writes a complete response. */
    public static void write(Response response, int status, String contentType, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try {
            response.setStatus(status);
            response.setContentType(contentType);
            response.setContentLength(bytes.length);
            response.getOutputStream().write(bytes);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.NO_ANSWER, "cannot write the response: the client has disconnected", e);
        }
    }
}
