package org.mustardlink.api;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpServers;
import org.mustardlink.http.Json;

/**
 * The HTTP server for operators: a registry of paths, served on a separate address.
 *
 * <p>Thread-safe. Routes may be added while the server runs; {@code docs/api.md} describes the paths.
 */
public final class OperatorApi implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int THREADS = 2;
    private static final String BEARER_PREFIX = "Bearer ";

    private final Map<String, Handler> routes = new ConcurrentHashMap<>();
    private final Optional<Path> secretFile;
    private final HttpServer server;

    private OperatorApi(InetSocketAddress address, Optional<Path> secretFile) {
        this.secretFile = secretFile;
        this.server = HttpServers.start(address, THREADS, new HttpHandler() {
            @Override
            public void service(Request request, Response response) {
                handleRequest(request, response);
            }
        });
    }

    /**
     * Starts a server without any path and without authorization.
     *
     * @param address address to listen on; port 0 selects a free port
     */
    public static OperatorApi start(InetSocketAddress address) {
        return new OperatorApi(address, Optional.empty());
    }

    /**
     * Starts a server without any path.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param secretFile file with the secret that every request except GET must carry as {@code Authorization: Bearer};
     *     the file is read for each such request, so a new secret takes effect at once
     */
    public static OperatorApi start(InetSocketAddress address, Optional<Path> secretFile) {
        return new OperatorApi(address, secretFile);
    }

    /** Handles the requests to a path. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Handles one request. Called on a server thread, so it must not block.
         *
         * @return the reply; a {@link CodedException} that is thrown or completes the future is sent as an {@link
         *     CallerApi.ErrorDocument}
         */
        CompletableFuture<Reply> handle(Call call);
    }

    /**
     * A request.
     *
     * @param method the HTTP method in upper case
     * @param path the full path without the query
     * @param parameters the first value of each query parameter
     * @param headers the first value of each header, by its name in lower case
     * @param body the body as text, empty if there is none
     */
    public record Call(
            String method,
            String path,
            ImmutableMap<String, String> parameters,
            ImmutableMap<String, String> headers,
            String body) {
        public Call {
            checkNotNull(method, "method");
            checkNotNull(path, "path");
            checkNotNull(parameters, "parameters");
            checkNotNull(headers, "headers");
            checkNotNull(body, "body");
        }

        /** Returns a query parameter, empty if it is absent. */
        public Optional<String> parameter(String name) {
            return Optional.ofNullable(parameters.get(name));
        }
    }

    /**
     * A reply.
     *
     * @param status the HTTP status
     * @param contentType the content type
     * @param body the body
     */
    public record Reply(int status, String contentType, String body) {
        public Reply {
            checkArgument(status >= 200 && status < 600, "not an HTTP status: %s", status);
            checkNotNull(contentType, "contentType");
            checkNotNull(body, "body");
        }

        /** Returns a reply with status 200 and a value as JSON. */
        public static Reply json(Object value) {
            return json(200, value);
        }

        /** Returns a reply with a status and a value as JSON. */
        public static Reply json(int status, Object value) {
            return new Reply(status, "application/json", Json.write(value));
        }

        /** Returns a future that is completed with this reply. */
        public CompletableFuture<Reply> toFuture() {
            return CompletableFuture.completedFuture(this);
        }
    }

    /**
     * Registers a handler for a path.
     *
     * @param path the exact path, or a prefix if it ends with a slash; the longest match takes precedence
     * @param handler handles every method; it throws {@link ErrorCode#NOT_FOUND} for methods that it does not support
     * @return this server
     */
    public OperatorApi route(String path, Handler handler) {
        checkArgument(path.startsWith("/"), "path must start with a slash: %s", path);
        checkNotNull(handler, "handler");
        checkArgument(routes.putIfAbsent(path, handler) == null, "path is already registered: %s", path);
        return this;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Stops accepting requests, and stops the server after the grace period. */
    public void shutdown(Duration gracePeriod) {
        Future<?> _unused = server.shutdown(gracePeriod.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        server.shutdownNow();
    }

    private void handleRequest(Request request, Response response) {
        CompletableFuture<Reply> reply;
        try {
            Call call = toCall(request);
            authorize(call);
            reply = handlerOf(call).handle(call);
        } catch (CodedException e) {
            reply = CompletableFuture.failedFuture(e);
        }
        response.suspend();
        CompletableFuture<Reply> _unused = reply.whenComplete((value, failure) -> writeReply(response, value, failure));
    }

    private void authorize(Call call) {
        if (secretFile.isEmpty() || call.method().equals("GET")) {
            return;
        }
        String provided =
                Optional.ofNullable(call.headers().get("authorization")).orElse("");
        // An unreadable or empty file rejects every change, so that a lost secret never disables authorization.
        boolean allowed = readSecret(secretFile.get())
                .map(secret -> BEARER_PREFIX + secret)
                .filter(expected -> MessageDigest.isEqual(utf8Bytes(expected), utf8Bytes(provided)))
                .isPresent();
        if (!allowed) {
            throw new CodedException(
                    ErrorCode.UNAUTHORIZED, "a change must carry the secret of operator.secret-file as a bearer token");
        }
    }

    private static Optional<String> readSecret(Path file) {
        try {
            return Optional.of(Files.readString(file).trim()).filter(text -> !text.isEmpty());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static byte[] utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private Handler handlerOf(Call call) {
        return Optional.ofNullable(routes.get(call.path()))
                .or(() -> routes.keySet().stream()
                        .filter(path -> path.endsWith("/") && path.length() > 1)
                        .filter(path -> call.path().startsWith(path))
                        .max(Comparator.comparingInt(String::length))
                        .map(routes::get))
                .orElseThrow(() -> new CodedException(ErrorCode.NOT_FOUND, "no such path: " + call.path()));
    }

    private static Call toCall(Request request) {
        ImmutableMap.Builder<String, String> parameters = ImmutableMap.builder();
        String query = Optional.ofNullable(request.getQueryString()).orElse("");
        if (!query.isEmpty()) {
            request.getParameterNames().forEach(name -> parameters.put(name, request.getParameter(name)));
        }
        ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
        request.getHeaderNames().forEach(name -> headers.put(Ascii.toLowerCase(name), request.getHeader(name)));
        return new Call(
                request.getMethod().getMethodString(),
                request.getRequestURI(),
                parameters.buildKeepingLast(),
                headers.buildKeepingLast(),
                HttpServers.readBody(request, MAX_BODY_BYTES));
    }

    private static void writeReply(Response response, Reply reply, Throwable failure) {
        Reply actual = failure == null ? reply : errorReply(failure);
        try {
            HttpServers.write(response, actual.status(), actual.contentType(), actual.body());
        } catch (CodedException e) {
            // The operator has closed the connection, so no reply can be sent.
            response.getRequest().getContext().getConnection().terminateSilently();
        } finally {
            response.resume();
        }
    }

    private static Reply errorReply(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        CodedException error = cause instanceof CodedException coded
                ? coded
                : new CodedException(ErrorCode.INTERNAL, "internal error", cause);
        return Reply.json(
                CallerApi.statusOf(error.code()), new CallerApi.ErrorDocument(error.code(), error.getMessage()));
    }
}
