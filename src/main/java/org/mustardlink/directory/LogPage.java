package org.mustardlink.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Consecutive records of a stream.
 *
 * @param firstOffset offset of the first record; greater than the requested offset if the log no longer keeps that one
 * @param records the records
 * @param nextOffset offset from which to read the next page
 * @param earliestOffset offset of the earliest record that the log still keeps
 * @param endOffset offset that the next appended record will get
 */
public record LogPage(
        long firstOffset, ImmutableList<String> records, long nextOffset, long earliestOffset, long endOffset) {
    public LogPage {
        checkNotNull(records, "records");
    }
}
