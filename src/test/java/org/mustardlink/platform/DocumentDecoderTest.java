package org.mustardlink.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Json;
import org.mustardlink.pool.Capacity;
import org.mustardlink.pool.StepSpec;
import org.mustardlink.pool.TargetEntry;
import org.mustardlink.routing.Route;
import org.mustardlink.routing.RoutingTable;

/** Tests that the platform's documents are decoded, and that malformed documents are rejected. */
final class DocumentDecoderTest {
    @Test
    void a_configuration_is_decoded_into_routes_and_limits() {
        RoutingTable table = DocumentDecoder.decodeConfig("{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
                + "\"pathPrefix\":\"/p/\",\"timeoutMs\":1500,\"latencySloMs\":60.5,\"priority\":2,\"service\":\"s\","
                + "\"maxAttempts\":4,\"stretch\":1.6}],\"services\":[{\"name\":\"s\"}],\"limits\":{\"bodyBytes\":5}}");

        Route route = table.findRoute("h", "/p/1").orElseThrow();
        assertThat(table.version()).isEqualTo(7);
        assertThat(table.services()).containsExactly("s");
        assertThat(table.maxBodyBytes()).isEqualTo(5);
        assertThat(route.objective()).isEqualTo(Duration.ofNanos(60_500_000));
        assertThat(route.maxAttempts()).isEqualTo(4);
        assertThat(route.stretch()).isEqualTo(1.6);
    }

    @Test
    void a_malformed_configuration_is_rejected_with_an_error_code() {
        for (String text : ImmutableList.of("", "{", "[]", "{\"version\":\"7\"}", "{\"version\":7}", "null")) {
            CodedException error = assertThrows(CodedException.class, () -> DocumentDecoder.decodeConfig(text));
            assertWithMessage(text).that(error.code()).isEqualTo(ErrorCode.PLATFORM_ERROR);
        }
    }

    @Test
    void an_entry_is_decoded_into_a_target_with_its_capacity_and_labels() {
        TargetEntry entry = DocumentDecoder.decodeTarget(
                        "i-1",
                        "{\"service\":\"s\",\"addr\":\"10.0.0.1:80\",\"zone\":\"z\",\"state\":\"draining\",\"born\":12,"
                                + "\"version\":\"v1\",\"slots\":8,\"coldLeftMs\":0,\"seq\":1,"
                                + "\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":1},\"labels\":[\"a\",\"r1-3\"]}")
                .orElseThrow();

        assertThat(entry.draining()).isTrue();
        assertThat(entry.startTimeMs()).isEqualTo(12);
        assertThat(entry.capacity()).isEqualTo(new Capacity(16_000, 32_768, 1));
        assertThat(entry.labels()).containsExactly("a", "r1-3");
    }

    /**
     * Guards against tasks on a target of another service: another writer stored an entry under the target's key that
     * named a service and had a field missing or of another type.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "version",
                "slots",
                "coldLeftMs",
                "seq",
                "service",
                "addr",
                "zone",
                "state",
                "capacity",
            })
    void an_entry_without_a_field_or_with_one_of_another_type_names_no_target(String field) {
        ObjectNode entry = validEntry();
        assertThat(DocumentDecoder.decodeTarget("i-1", entry.toString())).isPresent();

        entry.putArray(field);
        assertWithMessage("array")
                .that(DocumentDecoder.decodeTarget("i-1", entry.toString()))
                .isEqualTo(Optional.empty());
        entry.putNull(field);
        assertWithMessage("null")
                .that(DocumentDecoder.decodeTarget("i-1", entry.toString()))
                .isEqualTo(Optional.empty());
        entry.remove(field);
        assertWithMessage("missing")
                .that(DocumentDecoder.decodeTarget("i-1", entry.toString()))
                .isEqualTo(Optional.empty());
    }

    /** Guards against the same by fields whose type differs only slightly. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"slots\":\"8\"}",
                "{\"slots\":-1}",
                "{\"seq\":1.5}",
                "{\"coldLeftMs\":\"0\"}",
                "{\"version\":1}",
                "{\"born\":1.5}",
                "{\"born\":\"12\"}",
                "{\"born\":18446744073709551621}",
                "{\"labels\":\"a\"}",
                "{\"labels\":[\"a\",7]}",
                "{\"state\":\"READY\"}",
            })
    void an_entry_with_a_field_of_a_similar_type_names_no_target(String fields) throws JsonProcessingException {
        ObjectNode entry = validEntry();
        entry.setAll((ObjectNode) Json.readTree(fields));

        assertThat(DocumentDecoder.decodeTarget("i-1", entry.toString())).isEqualTo(Optional.empty());
    }

    private static ObjectNode validEntry() {
        ObjectNode entry = Json.mapper().createObjectNode();
        entry.put("service", "s").put("addr", "10.0.0.1:80").put("zone", "z").put("state", "ready");
        entry.put("version", "v1").put("slots", 8).put("coldLeftMs", 0).put("seq", 1);
        entry.putObject("capacity").put("cpu", 16_000);
        return entry;
    }

    @Test
    void a_job_is_decoded_into_its_steps() {
        DocumentDecoder.Job job = DocumentDecoder.decodeJob(
                "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":4,\"cpu\":500,"
                        + "\"memMb\":256,\"estMs\":900},{\"count\":2,\"after\":[0],\"requires\":\"b\",\"antiAffinity\":1}]}");

        assertThat(job.storageOptional()).isTrue();
        assertThat(job.steps()).hasSize(2);
        StepSpec second = job.steps().get(1);
        assertThat(second.dependsOn()).containsExactly(0);
        assertThat(second.requiredLabel()).hasValue("b");
        assertThat(second.maxPerTarget()).isEqualTo(1);
    }

    @Test
    void malformed_jobs_are_rejected_with_an_error_code() {
        ImmutableList<String> malformed = ImmutableList.of(
                "",
                "7",
                "{\"steps\":[{}]}",
                "{\"spec\":\"x\"}",
                "{\"spec\":\"x\",\"steps\":[]}",
                "{\"spec\":\"x\",\"steps\":[7]}",
                "{\"spec\":\"x\",\"steps\":[{\"count\":0}]}",
                "{\"spec\":\"x\",\"steps\":[{\"count\":-1}]}",
                "{\"spec\":\"x\",\"steps\":[{\"count\":1.5}]}",
                "{\"spec\":\"x\",\"steps\":[{\"count\":20000}]}",
                "{\"spec\":\"x\",\"steps\":[{\"cpu\":-1}]}",
                "{\"spec\":\"x\",\"steps\":[{\"cpu\":\"much\"}]}",
                "{\"spec\":\"x\",\"steps\":[{\"after\":[0]}]}",
                "{\"spec\":\"x\",\"steps\":[{},{\"after\":[1]}]}",
                "{\"spec\":\"x\",\"steps\":[{},{\"after\":[-1]}]}",
                "{\"spec\":7,\"steps\":[{}]}");
        for (String text : malformed) {
            CodedException error = assertThrows(CodedException.class, () -> DocumentDecoder.decodeJob(text), text);
            assertWithMessage(text).that(error.code()).isEqualTo(ErrorCode.BAD_REQUEST);
        }
    }
}
