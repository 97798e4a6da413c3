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

/** Starts Grizzly HTTP servers with the project's bounds and reads and writes bodies. */
public final class HttpServers {
    private static final RequestExecutorProvider WORKER_EXECUTORS = new RequestExecutorProvider.WorkerThreadProvider();
    private static final int MAX_HEADER_BYTES = 8 << 10;
    /** The parser reads this much, so that a request a little beyond the bound still gets an answer that names it. */
    private static final int MAX_PARSED_HEADER_BYTES = 64 << 10;

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    /** Largest body that an I/O thread handles itself; parsing a larger one would delay other connections. */
    private static final int MAX_INLINE_BODY_BYTES = 4 << 10;

    private HttpServers() {}

    /** Handles a request without blocking once its body is there. */
    @FunctionalInterface
    public interface Service {
        /** Handles a request; an answer given later suspends the response. */
        void handle(Request request, Response response);
    }

    /**
     * Starts a server whose I/O thread handles a small request itself if the whole body has arrived, which saves the
     * hand-over to a worker; other requests go to the workers.
     *
     * @param address where to listen; port 0 takes a free one
     * @param threads worker threads
     * @param service handles every request; it must not block
     * @param probes told of connections from the start
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
     * @param address where to listen; port 0 takes a free one
     * @param threads worker threads
     * @param handler handles every request
     * @param probes told of connections from the start
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
        // Without a name Grizzly joins one at run time, which slows the start of a host.
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
     * Reads a whole body.
     *
     * @param maxBytes bound on its size
     * @throws CodedException with {@link ErrorCode#BODY_TOO_LARGE} beyond the bound
     */
    public static String readBody(Request request, int maxBytes) {
        try (InputStream in = request.getInputStream()) {
            byte[] bytes = in.readNBytes(maxBytes + 1);
            if (bytes.length > maxBytes) {
                throw new CodedException(ErrorCode.BODY_TOO_LARGE, "a body may have " + maxBytes + " bytes at most");
            }
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "the body could not be read", e);
        }
    }

    /**
     * Checks the size of a request's line and headers.
     *
     * @throws CodedException with {@link ErrorCode#HEADERS_TOO_LARGE} beyond 8 KiB
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
                    ErrorCode.HEADERS_TOO_LARGE, "path and headers may have " + MAX_HEADER_BYTES + " bytes at most");
        }
    }

    /** Writes a whole answer. */
    public static void write(Response response, int status, String contentType, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try {
            response.setStatus(status);
            response.setContentType(contentType);
            response.setContentLength(bytes.length);
            response.getOutputStream().write(bytes);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.NO_ANSWER, "the caller is gone", e);
        }
    }
}
