package org.mustardlink.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.NumberInput;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.mustardlink.http.Json;
import org.mustardlink.pool.LeaseReport;
import org.mustardlink.pool.RunId;

/**
 * Decodes a target's reply in one pass without a tree, because a host receives several replies for each task.
 *
 * <p>Unknown fields are ignored, missing ones and those of another type count as 0 or empty, and the last one of two
 * equal fields counts.
 */
final class TargetReplyDecoder {
    private final JsonParser parser;
    private long clockMs;
    private long startTimeMs;
    private String reason = "";
    private ImmutableList<LeaseReport.RunProgress> running = ImmutableList.of();
    private ImmutableList<LeaseReport.RunEnd> ended = ImmutableList.of();
    /** Whether a run is malformed, which matters only if the reply is a report. */
    private boolean malformed;
    /** Whether the parser has not reached the end of the current row. */
    private boolean inRow;

    private TargetReplyDecoder(JsonParser parser) {
        this.parser = parser;
    }

    /** Decodes a body; empty if it is not a complete JSON object. */
    static Optional<TargetReplyDecoder> decode(String body) {
        try (JsonParser parser = Json.newParser(body)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Optional.empty();
            }
            TargetReplyDecoder reply = new TargetReplyDecoder(parser);
            for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                reply.readField(name, parser.nextToken());
            }
            return parser.nextToken() == null ? Optional.of(reply) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read a text in memory", e);
        }
    }

    /** Returns the target's clock in milliseconds, 0 if the reply does not contain it. */
    long clockMs() {
        return clockMs;
    }

    /** Returns why an order was rejected, empty if the reply does not tell. */
    String reason() {
        return reason;
    }

    /**
     * Returns the reply as a report.
     *
     * @throws IllegalArgumentException if a run in it is malformed
     */
    LeaseReport toReport() {
        if (malformed) {
            throw new IllegalArgumentException("malformed run in a report");
        }
        return new LeaseReport(clockMs, startTimeMs, running, ended);
    }

    private void readField(String name, JsonToken token) throws IOException {
        switch (name) {
            case PlatformProtocol.CLOCK_FIELD -> clockMs = readLong(token);
            case PlatformProtocol.START_TIME_FIELD -> startTimeMs = readLong(token);
            case PlatformProtocol.REASON_FIELD -> reason = readText(token);
            case PlatformProtocol.RUNNING_FIELD -> running = readRows(token, this::readRunProgress);
            case PlatformProtocol.ENDED_FIELD -> ended = readRows(token, this::readRunEnd);
            default -> parser.skipChildren();
        }
    }

    @FunctionalInterface
    private interface RowReader<T> {
        T read() throws IOException;
    }

    private <T> ImmutableList<T> readRows(JsonToken listToken, RowReader<T> reader) throws IOException {
        if (listToken != JsonToken.START_ARRAY) {
            malformed |= listToken == JsonToken.START_OBJECT;
            parser.skipChildren();
            return ImmutableList.of();
        }
        ImmutableList.Builder<T> rows = ImmutableList.builder();
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            if (token != JsonToken.START_ARRAY) {
                malformed = true;
                parser.skipChildren();
                continue;
            }
            inRow = true;
            try {
                rows.add(reader.read());
            } catch (IllegalArgumentException e) {
                malformed = true;
            }
            while (nextElement() != JsonToken.END_ARRAY) {
                parser.skipChildren();
            }
        }
        return rows.build();
    }

    /** Reads a row of task, attempt, an unused element and percent. */
    private LeaseReport.RunProgress readRunProgress() throws IOException {
        String task = readText(nextElement());
        int attempt = (int) readLong(nextElement());
        long _unused = readLong(nextElement());
        int percent = (int) readLong(nextElement());
        return new LeaseReport.RunProgress(new RunId(TargetOrderClient.parseTaskName(task), attempt), percent);
    }

    /** Reads a row of sequence number, task, attempt and outcome. */
    private LeaseReport.RunEnd readRunEnd() throws IOException {
        long sequenceNumber = readLong(nextElement());
        String task = readText(nextElement());
        int attempt = (int) readLong(nextElement());
        String outcome = readText(nextElement());
        return new LeaseReport.RunEnd(
                sequenceNumber, new RunId(TargetOrderClient.parseTaskName(task), attempt), decodeOutcome(outcome));
    }

    private static LeaseReport.RunOutcome decodeOutcome(String text) {
        return switch (text) {
            case "done" -> LeaseReport.RunOutcome.DONE;
            case "failed" -> LeaseReport.RunOutcome.FAILED;
            case "stopped" -> LeaseReport.RunOutcome.STOPPED;
            case "lapsed" -> LeaseReport.RunOutcome.LAPSED;
            case "broken", "alone" -> LeaseReport.RunOutcome.BROKEN;
            default -> throw new IllegalArgumentException("unknown run outcome: " + text);
        };
    }

    /** Moves to the next element of the row, and stays at the row's end after its last one. */
    private JsonToken nextElement() throws IOException {
        if (!inRow) {
            return JsonToken.END_ARRAY;
        }
        JsonToken token = parser.nextToken();
        inRow = token != JsonToken.END_ARRAY;
        return token;
    }

    private long readLong(JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_NUMBER_INT ->
                parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? parser.getBigIntegerValue().longValue()
                        : parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> (long) parser.getDoubleValue();
            case VALUE_STRING -> NumberInput.parseAsLong(parser.getText(), 0);
            case VALUE_TRUE -> 1;
            default -> {
                parser.skipChildren();
                yield 0;
            }
        };
    }

    private String readText(JsonToken token) throws IOException {
        if (token.isScalarValue()) {
            return parser.getText();
        }
        parser.skipChildren();
        return "";
    }
}
