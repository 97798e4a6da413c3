package org.mustardlink.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.Request;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * Reads request bodies without blocking a thread, with limits on the size of a body, on the time to receive it and on
 * the bytes of all open bodies.
 *
 * <p>Thread-safe. A slow or endless sender occupies the bytes that it has sent, but no thread.
 */
public final class BodyReader {
    private final Limits limits;
    private final AtomicLong openBytes = new AtomicLong();

    /** Creates a reader with the given limits. */
    public BodyReader(Limits limits) {
        this.limits = limits;
    }

    /**
     * Limits of a reader.
     *
     * @param maxBytes maximum size of one body
     * @param maxOpenBytes maximum number of bytes of all bodies that have arrived, until {@link Body#release()}
     * @param timeout maximum time from the end of the request's headers to the last byte of its body
     */
    public record Limits(int maxBytes, long maxOpenBytes, Duration timeout) {
        public Limits {
            checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
            checkArgument(maxOpenBytes >= maxBytes, "maxOpenBytes must not be less than maxBytes: %s", maxOpenBytes);
            checkArgument(timeout.toNanos() > 0, "timeout must be positive: %s", timeout);
        }
    }

    /** A complete body, whose bytes count as open until it is released. */
    public final class Body {
        private final String text;
        private final AtomicLong heldBytes;

        private Body(String text, long bytes) {
            this.text = text;
            this.heldBytes = new AtomicLong(bytes);
        }

        /** Returns the text of the body. */
        public String text() {
            return text;
        }

        /** Stops counting the body's bytes as open. Further calls have no effect. */
        public void release() {
            openBytes.addAndGet(-heldBytes.getAndSet(0));
        }
    }

    /**
     * Reads the body of a request. The caller must have suspended the response.
     *
     * @return a future of the body, which completes exceptionally with a {@link CodedException}: {@link
     *     ErrorCode#BODY_TOO_LARGE}, {@link ErrorCode#BODY_TIMEOUT}, {@link ErrorCode#TOO_BUSY} or {@link
     *     ErrorCode#BAD_REQUEST}
     */
    public CompletableFuture<Body> read(Request request) {
        if (request.getContentLengthLong() > limits.maxBytes()) {
            return CompletableFuture.failedFuture(newBodyTooLarge());
        }
        BodyReadHandler handler = new BodyReadHandler(request.getNIOInputStream());
        handler.start();
        return handler.body;
    }

    /** Returns the number of bytes of all open bodies. */
    public long openBytes() {
        return openBytes.get();
    }

    private CodedException newBodyTooLarge() {
        return new CodedException(
                ErrorCode.BODY_TOO_LARGE, "request body exceeds the limit of " + limits.maxBytes() + " bytes");
    }

    private final class BodyReadHandler implements ReadHandler {
        private final NIOInputStream in;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private final CompletableFuture<Body> body = new CompletableFuture<>();
        private long reservedBytes;

        private BodyReadHandler(NIOInputStream in) {
            this.in = in;
        }

        private void start() {
            in.notifyAvailable(this);
            if (!body.isDone()) {
                scheduleTimeout();
            }
        }

        /**
         * Schedules the timeout. {@code orTimeout} cancels its timer as soon as the copy completes. A timer that stayed
         * queued until its time would keep every body of the last seconds in the heap.
         */
        private void scheduleTimeout() {
            CompletableFuture<Body> _timed = body.copy()
                    .orTimeout(limits.timeout().toMillis(), TimeUnit.MILLISECONDS)
                    .whenComplete((_body, failure) -> {
                        if (failure instanceof TimeoutException) {
                            fail(new CodedException(
                                    ErrorCode.BODY_TIMEOUT,
                                    "request body did not arrive completely within " + limits.timeout()));
                        }
                    });
        }

        @Override
        public void onDataAvailable() throws IOException {
            if (readAvailable()) {
                in.notifyAvailable(this);
            }
        }

        @Override
        public void onAllDataRead() throws IOException {
            if (!readAvailable()) {
                return;
            }
            synchronized (this) {
                Body completeBody = new Body(bytes.toString(StandardCharsets.UTF_8), reservedBytes);
                if (body.complete(completeBody)) {
                    return;
                }
                completeBody.release();
            }
        }

        @Override
        public void onError(Throwable cause) {
            fail(new CodedException(ErrorCode.BAD_REQUEST, "cannot read the request body", cause));
        }

        private synchronized boolean readAvailable() throws IOException {
            if (body.isDone()) {
                return false;
            }
            int available = in.available();
            if (available <= 0) {
                return true;
            }
            if (bytes.size() + available > limits.maxBytes()) {
                fail(newBodyTooLarge());
                return false;
            }
            reservedBytes += available;
            if (openBytes.addAndGet(available) > limits.maxOpenBytes()) {
                fail(new CodedException(ErrorCode.TOO_BUSY, "too many bytes of request bodies are open"));
                return false;
            }
            byte[] chunk = new byte[available];
            bytes.write(chunk, 0, Math.max(0, in.read(chunk)));
            return true;
        }

        private synchronized void fail(CodedException failure) {
            if (body.completeExceptionally(failure)) {
                openBytes.addAndGet(-reservedBytes);
            }
        }
    }
}
