package org.mustardlink.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Consecutive records of a stream.
 *
 * @param first offset of the first record; greater than the offset asked for when that one has expired
 * @param records the records
 * @param next offset to read from next
 * @param earliest offset of the earliest record that the log still keeps
 * @param end offset that the next append will get
 */
public record LogPage(long first, ImmutableList<String> records, long next, long earliest, long end) {
    public LogPage {
        checkNotNull(records, "records");
    }
}
