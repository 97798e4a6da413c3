package org.mustardlink.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.pool.TargetEntry;

/** Tests that an entry is decoded again exactly if more than its sequence number has changed. */
final class TargetEntryReaderTest {
    private final TargetEntryReader reader = new TargetEntryReader();

    private static String entry(int sequence, String state) {
        return "{\"service\":\"yard\",\"addr\":\"127.0.0.1:80\",\"zone\":\"east\",\"state\":\"" + state + "\",\"seq\":"
                + sequence + ",\"version\":\"v1\",\"slots\":1,\"coldLeftMs\":0,\"capacity\":{\"cpu\":1000}}";
    }

    private Optional<TargetEntry> read(String value) {
        return reader.read(new KeyedRecord(0, "t", Optional.of(value)));
    }

    /** Guards against a host whose CPU time grows with the number of targets although no target changes. */
    @Test
    void an_entry_in_which_only_the_sequence_number_changed_is_not_decoded_again() {
        TargetEntry first = read(entry(1, "ready")).orElseThrow();

        assertThat(read(entry(2, "ready")).orElseThrow()).isSameInstanceAs(first);
    }

    /** Guards against starts on a draining target: its state changes together with its sequence number. */
    @Test
    void a_change_of_state_is_decoded() {
        assertThat(read(entry(1, "ready")).orElseThrow().draining()).isFalse();
        assertThat(read(entry(2, "draining")).orElseThrow().draining()).isTrue();
    }

    /** Guards against malformed bytes that are taken for a target or that hide a later well-formed entry. */
    @Test
    void a_malformed_entry_gives_no_target_until_a_well_formed_one_arrives() {
        assertThat(read("{\"seq\":1")).isEqualTo(Optional.empty());
        assertThat(read("{\"seq\":2")).isEqualTo(Optional.empty());
        assertThat(read(entry(3, "ready"))).isNotEqualTo(Optional.empty());
    }

    /** Guards against an entry of another writer that counts as well-formed because the one before it was. */
    @ParameterizedTest
    @ValueSource(strings = {"123456789012345678901234567890", "9223372036854775808", "007"})
    void an_entry_with_an_invalid_sequence_number_names_no_target_after_a_valid_one(String sequence) {
        String valid = entry(1, "ready");
        assertThat(read(valid)).isNotEqualTo(Optional.empty());

        assertThat(read(valid.replace("\"seq\":1", "\"seq\":" + sequence))).isEqualTo(Optional.empty());
    }

    /** Guards against starts on the target of another service under whose key another writer stored damaged bytes. */
    @Test
    void an_entry_with_bytes_that_are_not_valid_text_names_no_target() {
        assertThat(read(entry(1, "ready").replace("v1", "v\u00c3\u00a9"))).isNotEqualTo(Optional.empty());

        assertThat(read(entry(2, "ready").replace("v1", "v\u00ff"))).isEqualTo(Optional.empty());
        assertThat(read(entry(3, "ready").replace("v1", "v\u00c3"))).isEqualTo(Optional.empty());
    }

    /** Guards against a changed entry that is taken for the cached one because it has the same length or prefix. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"addr\":\"127.0.0.1:80\",\"seq\":1,\"slots\":8 | {\"addr\":\"127.0.0.1:81\",\"seq\":2,\"slots\":8",
                "{\"seq\":1,\"slots\":8 | {\"seq\":2,\"slots\":4",
                "{\"seq\":1,\"slots\":8 | {\"seq\":2",
                "{\"seq\":1 | {\"seq\":2,\"slots\":8",
                "{\"seq\":1,\"slots\":8 | {\"seq\":,\"slots\":8",
                "{\"seq\":1,\"slots\":8 | {\"seq\":2,\"slots\":84",
                "{\"slots\":8 | {\"slots\":84",
                "{\"slots\":8 | {\"slots\":8\"",
            })
    void an_entry_that_differs_outside_the_sequence_number_is_decoded(String first, String second) {
        String address = first.contains("addr") ? "" : ",\"addr\":\"127.0.0.1:80\"";
        String rest = address + ",\"service\":\"yard\",\"zone\":\"east\",\"state\":\"ready\",\"version\":\"v1\","
                + "\"coldLeftMs\":0,\"capacity\":{\"cpu\":1000}}";
        TargetEntryReader fresh = new TargetEntryReader();
        read(first + rest);

        assertThat(read(second + rest)).isEqualTo(fresh.read(new KeyedRecord(0, "t", Optional.of(second + rest))));
    }
}
