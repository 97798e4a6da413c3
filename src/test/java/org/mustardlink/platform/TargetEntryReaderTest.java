package org.mustardlink.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mustardlink.pool.TargetEntry;

/** Tests that entries which say the same are read once, and that nothing else is taken for the same. */
final class TargetEntryReaderTest {
    private final TargetEntryReader reader = new TargetEntryReader();

    private static String entry(int sequence, String state) {
        return "{\"service\":\"yard\",\"addr\":\"127.0.0.1:80\",\"zone\":\"east\",\"state\":\"" + state + "\",\"seq\":"
                + sequence + ",\"capacity\":{\"cpu\":1000}}";
    }

    /** Guards against a host whose processor time follows the number of targets although nothing changes. */
    @Test
    void an_entry_with_only_another_number_is_not_read_again() {
        TargetEntry first = reader.read("t", entry(1, "ready")).orElseThrow();

        assertThat(reader.read("t", entry(2, "ready")).orElseThrow()).isSameInstanceAs(first);
    }

    /** Guards against starts on a target that leaves: its state changes together with its number. */
    @Test
    void a_change_of_state_is_read() {
        assertThat(reader.read("t", entry(1, "ready")).orElseThrow().draining()).isFalse();
        assertThat(reader.read("t", entry(2, "draining")).orElseThrow().draining())
                .isTrue();
    }

    /** Guards against bytes of another writer that stand in for a target or hide a later good entry. */
    @Test
    void an_entry_that_cannot_be_read_names_no_target_until_a_good_one_comes() {
        assertThat(reader.read("t", "{\"seq\":1")).isEqualTo(Optional.empty());
        assertThat(reader.read("t", "{\"seq\":2")).isEqualTo(Optional.empty());
        assertThat(reader.read("t", entry(3, "ready"))).isNotEqualTo(Optional.empty());
    }
}
