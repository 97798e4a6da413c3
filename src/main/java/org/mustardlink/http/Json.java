package org.mustardlink.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * Reads and writes JSON documents, as trees or as records. Unknown fields are ignored, so that documents of newer
 * senders can be read. A text that nests objects or arrays more than {@value #MAX_DEPTH} levels deep, or has a number of
 * more than 1,000 digits, counts as malformed.
 *
 * <p>{@link #readTree} and {@link #writeObject} need no mapper; creating the mapper takes a tenth of the processor time
 * of a dispatch host's start.
 */
public final class Json {
    /**
     * Maximum nesting depth. Documents of the platform have five levels; the stack of a thread of 256 KiB, which is
     * needed to read a tree, overflows at about 500.
     */
    private static final int MAX_DEPTH = 64;

    private static final JsonFactory FACTORY = newFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() {}

    private static JsonFactory newFactory() {
        return JsonFactory.builder()
                .streamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_DEPTH)
                        .build())
                .build();
    }

    /** Holder that creates the mapper on first use. */
    private static final class Mapper {
        private static final ObjectMapper INSTANCE = JsonMapper.builder(newFactory())
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .build();
    }

    /** Writes the fields of an object. */
    @FunctionalInterface
    public interface FieldWriter {
        /** Writes the fields to a generator that is positioned inside the object. */
        void write(JsonGenerator out) throws IOException;
    }

    /** Returns the shared mapper. */
    public static ObjectMapper mapper() {
        return Mapper.INSTANCE;
    }

    /** Serializes a value with the mapper. */
    public static String write(Object value) {
        try {
            return mapper().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot serialize a value as JSON", e);
        }
    }

    /** Writes an object field by field. */
    public static String writeObject(FieldWriter fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            out.writeStartObject();
            fields.write(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot write an object as JSON", e);
        }
        return text.toString();
    }

    /**
     * Deserializes a value with the mapper.
     *
     * @throws JsonProcessingException if the text is malformed
     */
    public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
        return mapper().readValue(text, type);
    }

    /**
     * Reads a complete text as a tree, with the same result as the mapper. A text without any value gives a missing
     * node.
     *
     * @throws JsonProcessingException if the text is malformed or continues after the value
     */
    public static JsonNode readTree(String text) throws JsonProcessingException {
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                return MissingNode.getInstance();
            }
            JsonNode value = readValue(parser, first);
            if (parser.nextToken() != null) {
                throw new JsonParseException(parser, "unexpected text after the value");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot read a JSON text", e);
        }
    }

    /**
     * Returns a parser of a text, for documents so frequent that a tree of each costs too much.
     *
     * @throws JsonProcessingException if the text cannot be read
     */
    public static JsonParser newParser(String text) throws JsonProcessingException {
        try {
            return FACTORY.createParser(text);
        } catch (JsonProcessingException e) {
            throw e;
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot read a JSON text", e);
        }
    }

    /** Reads the value that starts at a token. The parser limits the depth of this recursion. */
    private static JsonNode readValue(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new JsonParseException(parser, "unexpected token " + token);
        };
    }

    private static JsonNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            object.set(name, readValue(parser, parser.nextToken()));
        }
        return object;
    }

    private static JsonNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            array.add(readValue(parser, token));
        }
        return array;
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }
}
