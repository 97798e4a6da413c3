package org.mustardlink.host;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.mustardlink.http.Json;

/** The fields of a record that hosts keep in the store. */
final class StoredFields {
    private final JsonNode root;
    private boolean isValid;

    private StoredFields(JsonNode root) {
        this.root = root;
        this.isValid = root.isObject();
    }

    /**
     * Reads a record's text.
     *
     * @throws JsonProcessingException if it is malformed
     */
    static StoredFields of(String text) throws JsonProcessingException {
        return new StoredFields(Json.tree(text));
    }

    /** Returns a text that has to be there; empty otherwise. */
    String requiredText(String name) {
        JsonNode field = root.path(name);
        isValid &= field.isTextual();
        return field.asText("");
    }

    /** Returns a whole number, 0 if an older writer left it out. */
    long optionalLong(String name) {
        JsonNode field = root.path(name);
        isValid &= field.isMissingNode() || (field.isIntegralNumber() && field.canConvertToLong());
        return field.asLong(0);
    }

    /** Returns a whole number of 32 bits, 0 if an older writer left it out. */
    int optionalInt(String name) {
        JsonNode field = root.path(name);
        isValid &= field.isMissingNode() || (field.isIntegralNumber() && field.canConvertToInt());
        return field.asInt(0);
    }

    /** Returns whether every field that was asked for is there and of its type. */
    boolean isValid() {
        return isValid;
    }
}
