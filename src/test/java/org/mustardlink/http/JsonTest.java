package org.mustardlink.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that {@link Json#readTree} reads texts as the mapper does. */
final class JsonTest {
    /** Guards against a field that is read with a wrong value or type, such as a clock reading beyond 32 bits. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "[]",
                "{\"clockMs\":2147483648,\"born\":1764900000000,\"n\":-1,\"big\":123456789012345678901234567890}",
                "{\"running\":[[\"5c0e.0.1.17\",2,\"\",41]],\"ended\":[[58,\"5c0e.0.1.9\",1,\"done\",\"\"]]}",
                "{\"a\":1.5,\"b\":1e400,\"c\":true,\"d\":false,\"e\":null,\"f\":{\"g\":[1,[2,{}]]}}",
                "{\"twice\":1,\"twice\":2}",
                "{\"text\":\"\\u00e9\\n\\\"\"}",
                " 7 ",
                "",
                "null",
            })
    void a_tree_equals_the_tree_of_the_mapper(String text) throws JsonProcessingException {
        assertThat(Json.readTree(text)).isEqualTo(Json.mapper().readTree(text));
    }

    /** Guards against accepting a truncated or malformed document, and against exceptions that callers don't catch. */
    @ParameterizedTest
    @ValueSource(strings = {"{", "[1,", "{\"a\"}", "{\"a\":}", "[,]", "{} {}", "1 2", "}", "{\"a\":tru}", "\u0000"})
    void text_that_the_mapper_rejects_is_rejected(String text) {
        assertThrows(JsonProcessingException.class, () -> Json.mapper().readTree(text));
        assertThrows(JsonProcessingException.class, () -> Json.readTree(text));
    }

    /** Guards against a stack overflow on a deeply nested document. */
    @Test
    void a_document_nested_too_deep_is_rejected() {
        assertThrows(JsonProcessingException.class, () -> Json.readTree("[".repeat(100_000)));
    }

    /**
     * Guards against a stack overflow in the threads of a dispatch host, whose stacks have 256 KiB, by a document that
     * is nested less deep than the parser's own limit.
     */
    @Test
    void a_document_nested_too_deep_for_a_small_stack_is_rejected() throws InterruptedException {
        List<Throwable> failures = new CopyOnWriteArrayList<>();
        ImmutableList<String> texts = ImmutableList.of(
                "[".repeat(900) + "]".repeat(900),
                "{\"a\":".repeat(900) + "1" + "}".repeat(900),
                "{\"labels\":" + "[".repeat(100_000) + "]".repeat(100_000) + "}",
                "[".repeat(200_000));
        Thread thread = new Thread(null, () -> texts.forEach(JsonTest::assertMalformed), "small stack", 256 << 10);
        thread.setUncaughtExceptionHandler((_thread, failure) -> failures.add(failure));

        thread.start();
        thread.join();

        assertThat(failures).isEmpty();
    }

    private static void assertMalformed(String text) {
        assertThrows(JsonProcessingException.class, () -> Json.readTree(text));
    }

    /** Guards against a caller's text that ends its JSON string early and injects further content. */
    @Test
    void the_texts_of_an_object_are_quoted() throws JsonProcessingException {
        String text = Json.writeObject(out -> {
            out.writeStringField("why", "\"},{\n");
            out.writeNumberField("incarnation", Long.MAX_VALUE);
        });

        assertThat(Json.readTree(text).path("why").asText()).isEqualTo("\"},{\n");
        assertThat(Json.readTree(text).path("incarnation").asLong()).isEqualTo(Long.MAX_VALUE);
    }
}
