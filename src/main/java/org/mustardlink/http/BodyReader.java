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
 * Reads request bodies without holding a thread, within bounds on size, time and the bytes of all open requests.
 *
 * <p>Thread-safe. A slow or endless sender costs its own bytes and nothing else.
 */
public final class BodyReader {
    private final Limits limits;
    private final AtomicLong openBytes = new AtomicLong();

    /** Creates a reader. */
    public BodyReader(Limits limits) {
        this.limits = limits;
    }

    /**
     * Bounds of a reader.
     *
     * @param maxBytes bytes of one body
     * @param maxOpenBytes bytes of all bodies between their arrival and {@link Body#release()}
     * @param timeout time from the request's headers to the last byte of its body
     */
    public record Limits(int maxBytes, long maxOpenBytes, Duration timeout) {
        public Limits {
            checkArgument(maxBytes > 0, "maxBytes must be positive: %s", maxBytes);
            checkArgument(maxOpenBytes >= maxBytes, "maxOpenBytes must hold one body: %s", maxOpenBytes);
            checkArgument(timeout.toNanos() > 0, "timeout must be positive: %s", timeout);
        }
    }

    /** A whole body whose bytes count as open until it is released. */
    public final class Body {
        private final String text;
        private final AtomicLong heldBytes;

        private Body(String text, long bytes) {
            this.text = text;
            this.heldBytes = new AtomicLong(bytes);
        }

        /** Returns the body. */
        public String text() {
            return text;
        }

        /** Frees the body's share of the bound; later calls have no effect. */
        public void release() {
            openBytes.addAndGet(-heldBytes.getAndSet(0));
        }
    }

    /**
     * Reads a body. The response has to be suspended.
     *
     * @return completes exceptionally with a {@link CodedException}: {@link ErrorCode#BODY_TOO_LARGE}, {@link
     *     ErrorCode#BODY_TIMEOUT}, {@link ErrorCode#TOO_BUSY} or {@link ErrorCode#BAD_REQUEST}
     */
    public CompletableFuture<Body> read(Request request) {
        if (request.getContentLengthLong() > limits.maxBytes()) {
            return CompletableFuture.failedFuture(newBodyTooLarge());
        }
        BodyReadHandler handler = new BodyReadHandler(request.getNIOInputStream());
        handler.start();
        return handler.body;
    }

    /** Returns the bytes of all open bodies. */
    public long openBytes() {
        return openBytes.get();
    }

    private CodedException newBodyTooLarge() {
        return new CodedException(ErrorCode.BODY_TOO_LARGE, "a body may have " + limits.maxBytes() + " bytes at most");
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
         * Ends the reading at its timeout. The timer of {@code orTimeout} leaves its queue when the body is complete;
         * one that stayed until its time would keep every body of the last seconds in the heap.
         */
        private void scheduleTimeout() {
            CompletableFuture<Body> _timed = body.copy()
                    .orTimeout(limits.timeout().toMillis(), TimeUnit.MILLISECONDS)
                    .whenComplete((_body, failure) -> {
                        if (failure instanceof TimeoutException) {
                            fail(new CodedException(
                                    ErrorCode.BODY_TIMEOUT, "no whole body within " + limits.timeout()));
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
            fail(new CodedException(ErrorCode.BAD_REQUEST, "the body could not be read", cause));
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
                fail(new CodedException(ErrorCode.TOO_BUSY, "too many bytes of requests are open"));
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
