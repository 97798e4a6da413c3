package org.mustardlink.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.Streams;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Stream;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Json;

/**
 * Reads a configuration change from a file written by an operator. The fields {@code schema}, {@code change} and
 * {@code base} may be omitted from the file; {@link #fillDefaults} fills them in from the current configuration of an
 * entry host.
 */
final class ChangeFile {
    private ChangeFile() {}

    static ObjectNode read(String file) {
        try {
            JsonNode node =
                    Json.read(Files.readString(new File(file).toPath(), StandardCharsets.UTF_8), JsonNode.class);
            if (node instanceof ObjectNode change) {
                return change;
            }
            throw new CodedException(ErrorCode.BAD_REQUEST, file + " does not contain a JSON object");
        } catch (IOException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "cannot read " + file + ": " + e.getMessage(), e);
        }
    }

    /**
     * Fills in the fields {@code schema}, {@code change} and {@code base} where the change lacks them.
     *
     * @param change the change, modified in place
     * @param id id of the change, or {@code null} to keep the id of the file or generate a random one
     * @param config response of {@code GET /v1/config}
     */
    static ObjectNode fillDefaults(ObjectNode change, String id, JsonNode config) {
        if (!change.has("schema")) {
            change.put("schema", Schemas.SUPPORTED.current());
        }
        if (id != null) {
            change.put("change", id);
        } else if (!change.has("change")) {
            change.put("change", UUID.randomUUID().toString());
        }
        entities(change)
                .filter(entity -> !entity.has("base"))
                .forEach(entity -> findCurrent(entity, config)
                        .ifPresent(found ->
                                entity.put("base", found.path("revision").asLong())));
        return change;
    }

    static Stream<ObjectNode> entities(ObjectNode change) {
        return change.has("entities")
                ? Streams.stream(change.get("entities")).map(ObjectNode.class::cast)
                : Stream.of(change);
    }

    static Optional<JsonNode> findCurrent(JsonNode entity, JsonNode config) {
        return Streams.stream(config.path("entities"))
                .filter(existing -> existing.path("kind").equals(entity.path("kind"))
                        && existing.path("name").equals(entity.path("name")))
                .findFirst();
    }
}
