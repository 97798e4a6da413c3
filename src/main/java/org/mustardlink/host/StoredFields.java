package org.mustardlink.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.mustardlink.http.Json;

/** The JSON fields of a record that a host has written to the store. */
final class StoredFields {
    private final JsonNode root;
    private boolean isValid;

    private StoredFields(JsonNode root) {
        this.root = root;
        this.isValid = root.isObject();
    }

    /**
     * Parses the text of a record.
     *
     * @throws JsonProcessingException if the text is not JSON
     */
    static StoredFields of(String text) throws JsonProcessingException {
        return new StoredFields(Json.readTree(text));
    }

    /** Returns a text field; the record is invalid if the field is missing or is not a text. */
    String requiredText(String name) {
        JsonNode field = root.path(name);
        isValid &= field.isTextual();
        return field.asText("");
    }

    /** Returns an integral field, or 0 if the writer, of an older version, left it out. */
    long optionalLong(String name) {
        JsonNode field = root.path(name);
        isValid &= field.isMissingNode() || (field.isIntegralNumber() && field.canConvertToLong());
        return field.asLong(0);
    }

    /** Returns an integral field of 32 bits, or 0 if the writer, of an older version, left it out. */
    int optionalInt(String name) {
        JsonNode field = root.path(name);
        isValid &= field.isMissingNode() || (field.isIntegralNumber() && field.canConvertToInt());
        return field.asInt(0);
    }

    /**
     * Returns whether the record is an object, no required field read so far is missing, and all have the right type.
     */
    boolean isValid() {
        return isValid;
    }
}
