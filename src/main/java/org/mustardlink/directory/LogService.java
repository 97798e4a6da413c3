package org.mustardlink.directory;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log.
 *
 * <p>Records of a stream have consecutive offsets from 0. The log keeps records for a limited time. The log may be down
 * or slow, and the answer to an append may be lost after the append took effect. Failures complete the future with a
 * {@link org.mustardlink.errors.CodedException}; the code {@code NOT_SENT} means that nothing was appended.
 */
public interface LogService {
    /**
     * Appends records in order, as one batch.
     *
     * @return the offset of the first record
     */
    CompletableFuture<Long> append(String stream, ImmutableList<String> records);

    /**
     * Reads records starting at an offset, and waits until there is at least one or the time is up.
     *
     * @param from offset of the first record to read
     * @param maxRecords maximum number of records to return
     * @param maxWait maximum time to wait for a record; zero returns at once
     */
    CompletableFuture<LogPage> read(String stream, long from, int maxRecords, Duration maxWait);
}
