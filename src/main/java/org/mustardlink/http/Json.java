package org.mustardlink.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/** Reads and writes JSON documents as records. Unknown fields are ignored, so newer senders are understood. */
public final class Json {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private Json() {}

    /** Returns the shared mapper. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Writes a value. */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.INTERNAL, "a value cannot be written as JSON", e);
        }
    }

    /**
     * Reads a value.
     *
     * @throws JsonProcessingException if the text is malformed
     */
    public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
        return MAPPER.readValue(text, type);
    }
}
