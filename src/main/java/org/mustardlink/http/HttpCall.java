package org.mustardlink.http;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * One HTTP request.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers additional headers, each name once; not those of the body's length or of an upgrade
 * @param body body of the request, empty for none
 * @param timeout time for the whole call, from waiting for a connection to the last byte of the reply; positive
 * @param maxIdle maximum time that the connection may have been idle before the call; a connection that was idle for
 *     longer is replaced
 * @param charset charset of the bodies of request and reply; ISO 8859-1 preserves every byte of binary bodies
 * @param keepReplyHeaders whether the reply contains its headers; without them it has none, which saves copying them
 */
public record HttpCall(
        String method,
        String path,
        ImmutableMap<String, String> headers,
        String body,
        Duration timeout,
        Duration maxIdle,
        Charset charset,
        boolean keepReplyHeaders) {
    /** Accepts any idle connection; suitable for requests that may be repeated. */
    private static final Duration UNLIMITED_IDLE_TIME = Duration.ofDays(1);

    public HttpCall {
        checkNotNull(method, "method");
        checkArgument(path.startsWith("/"), "path must start with a slash: %s", path);
        checkNotNull(headers, "headers");
        checkNotNull(body, "body");
        checkNotNull(charset, "charset");
        checkArgument(timeout.toNanos() > 0, "timeout must be positive: %s", timeout);
        checkArgument(!maxIdle.isNegative(), "maxIdle must not be negative: %s", maxIdle);
    }

    /** Creates a request with bodies in UTF-8 that any idle connection may carry. */
    public HttpCall(String method, String path, ImmutableMap<String, String> headers, String body, Duration timeout) {
        this(method, path, headers, body, timeout, UNLIMITED_IDLE_TIME, StandardCharsets.UTF_8, true);
    }

    /** Creates a request with bodies in UTF-8. */
    public HttpCall(
            String method,
            String path,
            ImmutableMap<String, String> headers,
            String body,
            Duration timeout,
            Duration maxIdle) {
        this(method, path, headers, body, timeout, maxIdle, StandardCharsets.UTF_8, true);
    }

    /** Returns the same request with another maximum idle time of its connection. */
    public HttpCall withMaxIdle(Duration newMaxIdle) {
        return new HttpCall(method, path, headers, body, timeout, newMaxIdle, charset, keepReplyHeaders);
    }

    /** Returns the same request with bodies in which each character stands for one byte. */
    public HttpCall withBinaryBodies() {
        return new HttpCall(
                method, path, headers, body, timeout, maxIdle, StandardCharsets.ISO_8859_1, keepReplyHeaders);
    }

    /** Returns the same request with a reply that contains no headers. */
    public HttpCall withoutReplyHeaders() {
        return new HttpCall(method, path, headers, body, timeout, maxIdle, charset, false);
    }

    /** Returns a GET request without extra headers. */
    public static HttpCall get(String path, Duration timeout) {
        return new HttpCall("GET", path, ImmutableMap.of(), "", timeout);
    }

    /** Returns a POST request with a JSON body. */
    public static HttpCall post(String path, String json, Duration timeout) {
        return new HttpCall("POST", path, ImmutableMap.of("Content-Type", "application/json"), json, timeout);
    }

    /** Returns a DELETE request without a body. */
    public static HttpCall delete(String path, Duration timeout) {
        return new HttpCall("DELETE", path, ImmutableMap.of(), "", timeout);
    }
}
