package org.mustardlink.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.UrlEscapers;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;

/** Client of the platform's store. Thread-safe. */
public final class StoreClient {
    /**
     * The store usually answers within 10 ms; a call that takes longer than this time-out fails, and its caller
     * repeats it.
     */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int PAGE_HEADER_BYTES = 16;

    private final HttpRequester requester;
    private final InetSocketAddress address;

    private StoreClient(HttpRequester requester, InetSocketAddress address) {
        this.requester = requester;
        this.address = address;
    }

    /** Returns a client for the store at an address. */
    public static StoreClient create(HttpRequester requester, InetSocketAddress address) {
        return new StoreClient(requester, address);
    }

    /**
     * Records read from a topic.
     *
     * @param endOffset offset after the topic's last record
     * @param records the records, in the order of the topic
     * @param nextOffset offset to continue reading from
     */
    public record Page(long endOffset, ImmutableList<KeyedRecord> records, long nextOffset) {}

    /** Outcome of an append call that was answered. */
    public enum AppendOutcome {
        /** The record was appended. */
        APPENDED,
        /** The topic's end differs from the expected end, so the record was not appended. */
        OTHER_END,
        /** The store responded with another status. */
        REFUSED
    }

    /** Reads the newest record of each key. */
    public CompletableFuture<Page> readNewest(String topic) {
        return readNewest(topic, "", ImmutableList.of(), OptionalLong.empty());
    }

    private CompletableFuture<Page> readNewest(
            String topic, String afterKey, ImmutableList<KeyedRecord> earlierRecords, OptionalLong firstPageEnd) {
        String path = PlatformProtocol.NEWEST_PATH + "?topic=" + topic + "&part=0"
                + (afterKey.isEmpty()
                        ? ""
                        : "&after=" + UrlEscapers.urlFormParameterEscaper().escape(afterKey));
        return requester
                .send(address, HttpCall.get(path, CALL_TIMEOUT).withoutReplyHeaders())
                .thenCompose(reply -> {
                    JsonNode body = parse(expectOk(reply));
                    ImmutableList.Builder<KeyedRecord> records = ImmutableList.builder();
                    records.addAll(earlierRecords);
                    String lastKey = afterKey;
                    for (JsonNode item : body.path("items")) {
                        String value = item.path("value").asText("");
                        lastKey = item.path("key").asText();
                        records.add(new KeyedRecord(
                                item.path("offset").asLong(),
                                lastKey,
                                value.isEmpty()
                                        ? Optional.empty()
                                        : Optional.of(new String(
                                                Base64.getDecoder().decode(value), StandardCharsets.ISO_8859_1))));
                    }
                    ImmutableList<KeyedRecord> all = records.build();
                    // Records appended between two pages may be missing from both; reading continues before all of
                    // them.
                    long end = firstPageEnd.orElseGet(() -> body.path("end").asLong());
                    return body.path("more").asBoolean() && !lastKey.equals(afterKey)
                            ? readNewest(topic, lastKey, all, OptionalLong.of(end))
                            : CompletableFuture.completedFuture(new Page(end, all, end));
                });
    }

    /**
     * Reads the records from an offset on; if there are none yet, waits for one.
     *
     * @param maxWait maximum time to wait for a record
     * @return empty if the record at the offset has expired
     */
    public CompletableFuture<Optional<Page>> read(String topic, long fromOffset, Duration maxWait) {
        String path = PlatformProtocol.READ_PATH + "?topic=" + topic + "&part=0&from=" + fromOffset + "&waitMs="
                + maxWait.toMillis();
        return requester
                .send(
                        address,
                        HttpCall.get(path, CALL_TIMEOUT.plus(maxWait))
                                .withBinaryBodies()
                                .withoutReplyHeaders())
                .thenApply(reply -> {
                    if (reply.status() == GONE) {
                        return Optional.empty();
                    }
                    return Optional.of(parsePage(fromOffset, expectOk(reply).body()));
                });
    }

    private static Page parsePage(long fromOffset, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        if (bytes.length < PAGE_HEADER_BYTES) {
            throw new CodedException(
                    ErrorCode.PLATFORM_ERROR, "the store sent a truncated page: " + bytes.length + " bytes");
        }
        long end = Longs.fromBytes(bytes[0], bytes[1], bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]);
        ImmutableList.Builder<KeyedRecord> records = ImmutableList.builder();
        long offset = fromOffset;
        int position = PAGE_HEADER_BYTES;
        while (position + Integer.BYTES <= bytes.length) {
            int length = Ints.fromBytes(bytes[position], bytes[position + 1], bytes[position + 2], bytes[position + 3]);
            position += Integer.BYTES;
            if (length < 1 || position + length > bytes.length) {
                throw new CodedException(
                        ErrorCode.PLATFORM_ERROR,
                        "the store sent a record with an invalid length: " + length + " bytes");
            }
            int keyLength = bytes[position] & 0xff;
            if (keyLength < length) {
                String key = new String(bytes, position + 1, keyLength, StandardCharsets.UTF_8);
                int valueLength = length - 1 - keyLength;
                Optional<String> value = valueLength == 0
                        ? Optional.empty()
                        : Optional.of(
                                new String(bytes, position + 1 + keyLength, valueLength, StandardCharsets.ISO_8859_1));
                records.add(new KeyedRecord(offset, key, value));
            }
            // Skip a malformed record whose key length exceeds the length of the record.
            position += length;
            offset++;
        }
        return new Page(end, records.build(), offset);
    }

    /**
     * Appends a record.
     *
     * @param value the record's value
     * @param expectedEnd the end offset that the topic must have for the append to succeed; empty to
     *     append unconditionally
     */
    public CompletableFuture<AppendOutcome> append(String topic, String key, String value, OptionalLong expectedEnd) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
        int length = 1 + keyBytes.length + valueBytes.length;
        String body = new String(Ints.toByteArray(length), StandardCharsets.ISO_8859_1)
                + (char) keyBytes.length
                + new String(keyBytes, StandardCharsets.ISO_8859_1)
                + new String(valueBytes, StandardCharsets.ISO_8859_1);
        String path = PlatformProtocol.APPEND_PATH + "?topic=" + topic + "&part=0"
                + (expectedEnd.isPresent() ? "&asOf=" + expectedEnd.getAsLong() : "");
        HttpCall call = new HttpCall(
                        "POST", path, ImmutableMap.of("Content-Type", "application/octet-stream"), body, CALL_TIMEOUT)
                .withBinaryBodies()
                .withoutReplyHeaders();
        return requester.send(address, call).thenApply(reply -> switch (reply.status()) {
            case OK -> AppendOutcome.APPENDED;
            case PRECONDITION_FAILED -> AppendOutcome.OTHER_END;
            default -> AppendOutcome.REFUSED;
        });
    }

    private static HttpReply expectOk(HttpReply reply) {
        if (reply.status() != OK) {
            throw new CodedException(ErrorCode.PLATFORM_ERROR, "the store answered with HTTP status " + reply.status());
        }
        return reply;
    }

    private static JsonNode parse(HttpReply reply) {
        try {
            return Json.readTree(reply.body());
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.PLATFORM_ERROR, "the store's answer is malformed JSON", e);
        }
    }
}
