package org.mustardlink.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Consecutive records of a stream.
 *
 * @param firstOffset offset of the first record; greater than the offset asked for when that one has expired
 * @param records the records
 * @param nextOffset offset to read from next
 * @param earliestOffset offset of the earliest record that the log still keeps
 * @param endOffset offset that the next append will get
 */
public record LogPage(
        long firstOffset, ImmutableList<String> records, long nextOffset, long earliestOffset, long endOffset) {
    public LogPage {
        checkNotNull(records, "records");
    }
}
