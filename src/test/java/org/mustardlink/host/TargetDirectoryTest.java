package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardlink.observe.EventLog;
import org.mustardlink.platform.KeyedRecord;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.TargetEntry;

/** Tests which targets the directory contains when entries vanish or cannot be read. */
final class TargetDirectoryTest {
    private static final PoolId EAST = new PoolId("yard", "east");

    private final TargetDirectory directory = new TargetDirectory(EventLog.create("east-1", "east", 100));

    private static KeyedRecord entry(String id, String state) {
        String text = "{\"service\":\"yard\",\"addr\":\"127.0.0.1:80\",\"zone\":\"east\",\"state\":\"" + state
                + "\",\"version\":\"v1\",\"slots\":1,\"coldLeftMs\":0,\"seq\":1,\"capacity\":{\"cpu\":1000}}";
        return new KeyedRecord(0, id, Optional.of(text));
    }

    private static long seconds(long value) {
        return TimeUnit.SECONDS.toNanos(value);
    }

    private void applyRecord(KeyedRecord record, long now) {
        directory.applyRecords(ImmutableList.of(record), false, now);
    }

    @Test
    void a_target_whose_entry_vanished_is_kept_for_three_seconds() {
        applyRecord(entry("t", "ready"), 0);
        applyRecord(new KeyedRecord(1, "t", Optional.empty()), seconds(1));

        directory.removeExpired(true, seconds(3));
        assertThat(directory.targets(EAST)).hasSize(1);
        directory.removeExpired(true, seconds(5));
        assertThat(directory.targets(EAST)).isEmpty();
    }

    /** Guards against a second run of a task: a draining target keeps running for seconds after its entry vanished. */
    @Test
    void a_draining_target_whose_entry_vanished_is_kept_for_twelve_seconds() {
        applyRecord(entry("t", "draining"), 0);
        applyRecord(new KeyedRecord(1, "t", Optional.empty()), seconds(1));

        directory.removeExpired(true, seconds(10));
        assertThat(directory.targets(EAST)).hasSize(1);
        directory.removeExpired(true, seconds(14));
        assertThat(directory.targets(EAST)).isEmpty();
    }

    @Test
    void entries_that_vanish_while_the_store_is_unavailable_are_kept_until_it_is_back() {
        applyRecord(entry("t", "ready"), 0);
        applyRecord(new KeyedRecord(1, "t", Optional.empty()), seconds(1));

        directory.removeExpired(false, seconds(20));
        directory.removeExpired(true, seconds(21));

        assertThat(directory.targets(EAST)).hasSize(1);
    }

    @Test
    void malformed_entries_of_other_writers_are_ignored() {
        applyRecord(entry("good", "ready"), 0);
        applyRecord(new KeyedRecord(1, "other-state", Optional.of("{\"state\":\"odd\"}")), 0);
        applyRecord(new KeyedRecord(2, "no-json", Optional.of("\u0000\u0001")), 0);
        applyRecord(new KeyedRecord(3, "other-type", Optional.of("{\"service\":7,\"addr\":[]}")), 0);
        applyRecord(entry("odd-address", "ready"), 0);

        assertThat(directory.targets(EAST)).hasSize(2);
    }

    /** Guards against an entry of another writer that keeps the other entries of its page from being applied. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"addr\":\"127.0.0.1:99999\"",
                "\"addr\":\"127.0.0.1:-1\"",
                "\"addr\":\"127.0.0.1:0\"",
                "\"addr\":\"127.0.0.1:1e9\"",
                "\"capacity\":{\"cpu\":1e999999999}",
                "\"capacity\":{\"cpu\":123456789012345678901234567890}",
                "\"zone\":\"\"",
                "\"slots\":123456789012345678901234567890",
                "\"labels\":NESTED",
                "\"unused\":NESTED",
            })
    void an_odd_entry_names_no_target_and_the_others_of_its_page_hold(String field) {
        String nested = "[".repeat(100_000) + "]".repeat(100_000);
        String text = entry("odd", "ready").value().orElseThrow();
        // The parser keeps the last of two fields of one name.
        String odd = text.substring(0, text.length() - 1) + ',' + field.replace("NESTED", nested) + '}';

        directory.applyRecords(
                ImmutableList.of(
                        entry("first", "ready"), new KeyedRecord(1, "odd", Optional.of(odd)), entry("last", "ready")),
                true,
                0);

        assertThat(directory.targets(EAST).stream().map(TargetEntry::id)).containsExactly("first", "last");
    }

    /** Guards against a new host that takes the list it has just read for all targets that may be running a task. */
    @Test
    void a_list_is_complete_once_entries_that_vanished_before_the_first_read_would_have_returned() {
        assertThat(directory.isComplete(0, seconds(100))).isFalse();
        applyRecord(entry("t", "ready"), seconds(100));
        directory.recordUpToDate(seconds(100));

        directory.removeExpired(true, seconds(111));
        assertThat(directory.isComplete(seconds(100), seconds(111))).isFalse();
        directory.removeExpired(true, seconds(113));
        assertThat(directory.isComplete(seconds(100), seconds(113))).isTrue();
    }

    /** Guards against a list that was read after entries of live targets expired while the store was unavailable. */
    @Test
    void a_list_is_not_complete_before_the_store_has_been_available_for_long_enough() {
        applyRecord(entry("t", "ready"), 0);
        directory.recordUpToDate(0);
        directory.removeExpired(false, seconds(11));
        assertThat(directory.isComplete(0, seconds(13))).isFalse();
        directory.removeExpired(true, seconds(14));
        assertThat(directory.isComplete(0, seconds(22))).isFalse();
        assertThat(directory.isComplete(0, seconds(24))).isTrue();

        directory.removeExpired(false, seconds(25));
        assertThat(directory.isComplete(0, seconds(26))).isTrue();
    }

    /**
     * Guards against a second run of a task that runs on a target which registered while the store turned this host
     * away: the list counted as complete because it once had been.
     */
    @Test
    void a_list_is_complete_only_for_the_time_before_its_last_read_began() {
        applyRecord(entry("t", "ready"), 0);
        directory.recordUpToDate(seconds(20));
        assertThat(directory.isComplete(seconds(20), seconds(21))).isTrue();

        directory.removeExpired(false, seconds(22));
        assertThat(directory.isComplete(seconds(22), seconds(23))).isFalse();

        applyRecord(entry("new", "ready"), seconds(29));
        directory.recordUpToDate(seconds(29));
        assertThat(directory.isComplete(seconds(22), seconds(30))).isTrue();
    }

    /**
     * Guards against a target that registered and vanished while the store turned this host away, and still runs a
     * task: the full list that is read afterwards doesn't show it.
     */
    @Test
    void a_full_list_after_a_gap_counts_like_the_first_one() {
        applyRecord(entry("t", "ready"), 0);
        directory.recordUpToDate(seconds(20));

        directory.applyRecords(ImmutableList.of(entry("t", "ready")), true, seconds(29));
        directory.recordUpToDate(seconds(29));

        assertThat(directory.isComplete(seconds(20), seconds(40))).isFalse();
        assertThat(directory.isComplete(seconds(20), seconds(42))).isTrue();
    }

    /** Guards against masters that wait for leases after each loss of the store's history, although no entry is missing. */
    @Test
    void a_full_list_that_follows_a_read_at_once_changes_nothing() {
        applyRecord(entry("t", "ready"), 0);
        directory.recordUpToDate(seconds(20));

        directory.applyRecords(ImmutableList.of(entry("t", "ready")), true, seconds(21));

        assertThat(directory.isComplete(seconds(20), seconds(22))).isTrue();
    }
}
