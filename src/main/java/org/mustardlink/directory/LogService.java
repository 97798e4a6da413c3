package org.mustardlink.directory;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log.
 *
 * <p>Records of a stream have consecutive offsets from 0. The log keeps records for a limited time. It may be down or
 * slow, and the answer to an append may be lost after the append took effect. Failures complete the future with a
 * {@link org.mustardlink.errors.CodedException}: {@code NOT_SENT} when the append certainly did not happen.
 */
public interface LogService {
    /**
     * Appends records in order, as one batch.
     *
     * @return the offset of the first record
     */
    CompletableFuture<Long> append(String stream, ImmutableList<String> records);

    /**
     * Reads records from an offset on, waiting for the first one.
     *
     * @param from the first offset wanted
     * @param maxRecords most records to return
     * @param maxWait longest time to wait for a record; zero returns at once
     */
    CompletableFuture<LogPage> read(String stream, long from, int maxRecords, Duration maxWait);
}
