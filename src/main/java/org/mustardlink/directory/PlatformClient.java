package org.mustardlink.directory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;

/** HTTP client of the platform's log and host list. Thread-safe. */
public final class PlatformClient implements LogService, HostListService {
    /** Default timeout of a call. Appends are synced to disk and usually take several milliseconds. */
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(3);

    private final HttpRequester requester;
    private final InetSocketAddress address;
    private final Duration timeout;

    private PlatformClient(HttpRequester requester, InetSocketAddress address, Duration timeout) {
        this.requester = requester;
        this.address = address;
        this.timeout = timeout;
    }

    /** Returns a client of the platform at an address, with the default timeout. */
    public static PlatformClient create(HttpRequester requester, InetSocketAddress address) {
        return new PlatformClient(requester, address, DEFAULT_TIMEOUT);
    }

    /**
     * Returns a client of the platform at an address, with a given timeout.
     *
     * @param timeout maximum time of a call, not counting the time that a read waits for records
     */
    public static PlatformClient create(HttpRequester requester, InetSocketAddress address, Duration timeout) {
        return new PlatformClient(requester, address, timeout);
    }

    @Override
    public CompletableFuture<Long> append(String stream, ImmutableList<String> records) {
        HttpCall call =
                HttpCall.post("/v1/streams/" + stream + "/records", Json.write(new AppendBody(records)), timeout);
        return send(call, AppendReply.class).thenApply(AppendReply::first);
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int maxRecords, Duration maxWait) {
        String path = "/v1/streams/%s/records?from=%d&max=%d&waitMs=%d"
                .formatted(stream, from, maxRecords, maxWait.toMillis());
        return send(HttpCall.get(path, timeout.plus(maxWait)), PageReply.class).thenApply(PageReply::toPage);
    }

    @Override
    public CompletableFuture<HostListing> hosts() {
        return send(HttpCall.get("/v1/hosts", timeout), ListingReply.class)
                .thenApply(reply -> new HostListing(reply.ageMs(), ImmutableList.copyOf(reply.hosts())));
    }

    private <T> CompletableFuture<T> send(HttpCall call, Class<T> type) {
        return requester.send(address, call).thenApply(reply -> parseReply(reply, type));
    }

    private static <T> T parseReply(HttpReply reply, Class<T> type) {
        if (reply.status() != 200) {
            throw new CodedException(
                    ErrorCode.PLATFORM_ERROR, "the platform answered with HTTP status " + reply.status());
        }
        try {
            return Json.read(reply.body(), type);
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.PLATFORM_ERROR, "the platform's answer is malformed", e);
        }
    }

    /**
     * Request body of an append.
     *
     * @param records the records
     */
    public record AppendBody(List<String> records) {}

    /**
     * Answer to an append.
     *
     * @param first offset of the first record
     */
    public record AppendReply(long first) {}

    /**
     * Answer to a read.
     *
     * @param first offset of the first record
     * @param records the records
     * @param next offset from which to read the next page
     * @param earliest offset of the earliest record that the log still keeps
     * @param end offset that the next appended record will get
     */
    public record PageReply(long first, List<String> records, long next, long earliest, long end) {
        LogPage toPage() {
            return new LogPage(first, ImmutableList.copyOf(records), next, earliest, end);
        }
    }

    /**
     * Answer with the list of hosts.
     *
     * @param ageMs age of the list in milliseconds
     * @param hosts the hosts
     */
    public record ListingReply(long ageMs, List<HostListing.Host> hosts) {}
}
