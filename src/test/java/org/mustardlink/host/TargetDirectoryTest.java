package org.mustardlink.host;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.mustardlink.observe.EventLog;
import org.mustardlink.platform.KeyedRecord;
import org.mustardlink.pool.PoolId;

/** Tests which targets a host believes in when entries vanish or can't be read. */
final class TargetDirectoryTest {
    private static final PoolId EAST = new PoolId("yard", "east");

    private final TargetDirectory directory = new TargetDirectory(EventLog.create("east-1", "east", 100));

    private static KeyedRecord entry(String id, String state) {
        String text = "{\"service\":\"yard\",\"addr\":\"127.0.0.1:80\",\"zone\":\"east\",\"state\":\"" + state
                + "\",\"capacity\":{\"cpu\":1000}}";
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

    /** Guards against a second run: a leaving target runs on for seconds after its entry is gone. */
    @Test
    void a_target_that_was_draining_is_kept_until_it_has_surely_left() {
        applyRecord(entry("t", "draining"), 0);
        applyRecord(new KeyedRecord(1, "t", Optional.empty()), seconds(1));

        directory.removeExpired(true, seconds(10));
        assertThat(directory.targets(EAST)).hasSize(1);
        directory.removeExpired(true, seconds(14));
        assertThat(directory.targets(EAST)).isEmpty();
    }

    @Test
    void entries_that_vanish_while_the_store_is_away_are_kept_until_it_is_back() {
        applyRecord(entry("t", "ready"), 0);
        applyRecord(new KeyedRecord(1, "t", Optional.empty()), seconds(1));

        directory.removeExpired(false, seconds(20));
        directory.removeExpired(true, seconds(21));

        assertThat(directory.targets(EAST)).hasSize(1);
    }

    @Test
    void entries_that_another_writer_left_name_no_target() {
        applyRecord(entry("good", "ready"), 0);
        applyRecord(new KeyedRecord(1, "other-state", Optional.of("{\"state\":\"odd\"}")), 0);
        applyRecord(new KeyedRecord(2, "no-json", Optional.of("\u0000\u0001")), 0);
        applyRecord(new KeyedRecord(3, "other-type", Optional.of("{\"service\":7,\"addr\":[]}")), 0);
        applyRecord(entry("odd-address", "ready"), 0);

        assertThat(directory.targets(EAST)).hasSize(2);
    }

    /** Guards against a new host that takes what it has just read for all targets that may still run something. */
    @Test
    void a_list_is_complete_when_no_entry_that_vanished_before_it_was_read_can_still_be_that_of_a_live_target() {
        assertThat(directory.isComplete(seconds(100))).isFalse();
        applyRecord(entry("t", "ready"), seconds(100));

        directory.removeExpired(true, seconds(111));
        assertThat(directory.isComplete(seconds(111))).isFalse();
        directory.removeExpired(true, seconds(113));
        assertThat(directory.isComplete(seconds(113))).isTrue();
    }

    /** Guards against a list that was read while entries of live targets had lapsed with the store. */
    @Test
    void a_list_is_not_complete_before_the_store_has_been_there_for_long_enough_to_get_lapsed_entries_back() {
        applyRecord(entry("t", "ready"), 0);
        directory.removeExpired(false, seconds(11));
        assertThat(directory.isComplete(seconds(13))).isFalse();
        directory.removeExpired(true, seconds(14));
        assertThat(directory.isComplete(seconds(22))).isFalse();
        assertThat(directory.isComplete(seconds(24))).isTrue();

        directory.removeExpired(false, seconds(25));
        assertThat(directory.isComplete(seconds(26))).isTrue();
    }
}
