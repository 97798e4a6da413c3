package org.mustardlink.config.records;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** JSON mapper for records and snapshots that preserves the meaning of every document when it is read and written. */
final class RecordJson {
    // Parsing as double would round or overflow numbers in fields that this version does not know, and encoding in
    // UTF-8
    // would replace a lone surrogate. A host started from a snapshot must hold the same state as one that read the log.
    static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .enable(JsonWriteFeature.ESCAPE_NON_ASCII)
            .build();

    private RecordJson() {}

    static int depth(JsonNode node) {
        int deepest = 0;
        for (JsonNode child : node) {
            deepest = Math.max(deepest, depth(child));
        }
        return node.isContainerNode() ? deepest + 1 : 0;
    }

    /** Returns the length of a value that is serialized and then embedded in another document as a JSON string. */
    static int escapedLength(JsonNode node) {
        try {
            return MAPPER.writeValueAsString(MAPPER.writeValueAsString(node)).length();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a body cannot be serialized as JSON", e);
        }
    }
}
