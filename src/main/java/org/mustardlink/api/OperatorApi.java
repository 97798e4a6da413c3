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
 * The HTTP server for operators: a registry of paths on an address of its own.
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
     * Starts a server without any path.
     *
     * @param address where to listen; port 0 takes a free one
     */
    public static OperatorApi start(InetSocketAddress address) {
        return new OperatorApi(address, Optional.empty());
    }

    /**
     * Starts a server without any path.
     *
     * @param address where to listen; port 0 takes a free one
     * @param secretFile file with the secret that every request but GET must carry as {@code Authorization: Bearer};
     *     it is read again for each such request, so a new secret is in force at once
     */
    public static OperatorApi start(InetSocketAddress address, Optional<Path> secretFile) {
        return new OperatorApi(address, secretFile);
    }

    /** Answers the requests to a path. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Answers one request; called on a server thread, which must not block.
         *
         * @return the answer, now or later; a {@link CodedException}, thrown or inside the future, becomes an
         *     {@link CallerApi.ErrorDocument}
         */
        CompletableFuture<Reply> handle(Call call);
    }

    /**
     * One request.
     *
     * @param method the method in upper case
     * @param path the whole path without the query
     * @param parameters the first value of each query parameter
     * @param headers the first value of each header by lower-case name
     * @param body the body as text, empty for none
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

        /** Returns a query parameter. */
        public Optional<String> parameter(String name) {
            return Optional.ofNullable(parameters.get(name));
        }
    }

    /**
     * One answer.
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

        /** Returns status 200 with a value as JSON. */
        public static Reply json(Object value) {
            return json(200, value);
        }

        /** Returns a value as JSON. */
        public static Reply json(int status, Object value) {
            return new Reply(status, "application/json", Json.write(value));
        }

        /** Returns the answer as a completed future. */
        public CompletableFuture<Reply> toFuture() {
            return CompletableFuture.completedFuture(this);
        }
    }

    /**
     * Registers a path.
     *
     * @param path the exact path, or a prefix if it ends with a slash; the longest match wins
     * @param handler answers every method; it throws {@link ErrorCode#NOT_FOUND} for those it does not have
     * @return this server
     */
    public OperatorApi route(String path, Handler handler) {
        checkArgument(path.startsWith("/"), "path must start with a slash: %s", path);
        checkNotNull(handler, "handler");
        checkArgument(routes.putIfAbsent(path, handler) == null, "path is registered already: %s", path);
        return this;
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return HttpServers.address(server);
    }

    /** Stops accepting requests and ends the server after the grace. */
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
        // An unreadable or empty file refuses every change, so that a lost secret never opens the way.
        boolean allowed = readSecret(secretFile.get())
                .map(secret -> BEARER_PREFIX + secret)
                .filter(expected -> MessageDigest.isEqual(utf8Bytes(expected), utf8Bytes(provided)))
                .isPresent();
        if (!allowed) {
            throw new CodedException(ErrorCode.UNAUTHORIZED, "a change needs the secret of operator.secret-file");
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
            // The operator went away; there is nobody to tell.
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
