package org.mustardlink.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardlink.pool.TargetEntry;

/** Tests that entries which say the same are read once, and that nothing else is taken for the same. */
final class TargetEntryReaderTest {
    private final TargetEntryReader reader = new TargetEntryReader();

    private static String entry(int sequence, String state) {
        return "{\"service\":\"yard\",\"addr\":\"127.0.0.1:80\",\"zone\":\"east\",\"state\":\"" + state + "\",\"seq\":"
                + sequence + ",\"capacity\":{\"cpu\":1000}}";
    }

    private Optional<TargetEntry> read(String value) {
        return reader.read(new KeyedRecord(0, "t", Optional.of(value)));
    }

    /** Guards against a host whose processor time follows the number of targets although nothing changes. */
    @Test
    void an_entry_with_only_another_number_is_not_read_again() {
        TargetEntry first = read(entry(1, "ready")).orElseThrow();

        assertThat(read(entry(2, "ready")).orElseThrow()).isSameInstanceAs(first);
    }

    /** Guards against starts on a target that leaves: its state changes together with its number. */
    @Test
    void a_change_of_state_is_read() {
        assertThat(read(entry(1, "ready")).orElseThrow().draining()).isFalse();
        assertThat(read(entry(2, "draining")).orElseThrow().draining()).isTrue();
    }

    /** Guards against bytes of another writer that stand in for a target or hide a later good entry. */
    @Test
    void an_entry_that_cannot_be_read_names_no_target_until_a_good_one_comes() {
        assertThat(read("{\"seq\":1")).isEqualTo(Optional.empty());
        assertThat(read("{\"seq\":2")).isEqualTo(Optional.empty());
        assertThat(read(entry(3, "ready"))).isNotEqualTo(Optional.empty());
    }

    /** Guards against a changed entry that is taken for the known one because it is as long or begins alike. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"addr\":\"127.0.0.1:80\",\"seq\":1,\"slots\":8} | {\"addr\":\"127.0.0.1:81\",\"seq\":2,\"slots\":8}",
                "{\"seq\":1,\"slots\":8} | {\"seq\":2,\"slots\":4}",
                "{\"seq\":1,\"slots\":8} | {\"seq\":2}",
                "{\"seq\":1} | {\"seq\":2,\"slots\":8}",
                "{\"seq\":1,\"slots\":8} | {\"seq\":,\"slots\":8}",
                "{\"slots\":8} | {\"slots\":84}",
                "{\"slots\":8} | {\"slots\":8",
            })
    void an_entry_that_differs_elsewhere_is_read(String first, String second) {
        String rest = ",\"service\":\"yard\",\"zone\":\"east\",\"state\":\"ready\",\"capacity\":{\"cpu\":1000}}";
        TargetEntryReader fresh = new TargetEntryReader();
        read(first + rest);

        assertThat(read(second + rest)).isEqualTo(fresh.read(new KeyedRecord(0, "t", Optional.of(second + rest))));
    }
}
