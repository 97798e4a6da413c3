package org.mustardlink.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.HttpCall;
import org.mustardlink.http.HttpReply;
import org.mustardlink.http.HttpRequester;
import org.mustardlink.http.Json;

/** HTTP client for the configuration and target endpoints of an entry host. */
final class ConfigClient implements AutoCloseable {
    /** Longer than the entry host takes to settle a change and to wait for its propagation to the other hosts. */
    private static final Duration TIMEOUT = Duration.ofSeconds(12);

    private final HttpRequester requester = HttpRequester.start(HttpRequester.Limits.forFewCalls());
    private final InetSocketAddress entry;

    ConfigClient(String entry) {
        this.entry = Addresses.parse(entry);
    }

    JsonNode get(String path) {
        return parseReply(requester.send(entry, HttpCall.get(path, TIMEOUT)).join());
    }

    JsonNode post(String path, JsonNode body) {
        return parseReply(requester
                .send(entry, new HttpCall("POST", path, OperatorSecret.headers(), Json.write(body), TIMEOUT))
                .join());
    }

    @Override
    public void close() {
        requester.close();
    }

    private static JsonNode parseReply(HttpReply reply) {
        try {
            JsonNode node = Json.read(reply.body(), JsonNode.class);
            if (node.has("error")) {
                throw new CodedException(
                        ErrorCode.BAD_REQUEST,
                        node.path("error").asText() + ": "
                                + node.path("message").asText());
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.NO_ANSWER, "the response is not JSON: " + reply.body(), e);
        }
    }
}
