package org.mustardlink.config.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * Configuration of a host from a requested offset on.
 *
 * @param ready whether the host's replica is ready; otherwise the page has no records and no snapshot
 * @param offset offset of the host's configuration
 * @param records records from the requested offset on, in log order; may end before the host's offset
 * @param snapshot snapshot that replaces records that the host no longer keeps
 * @param changeStatus status of the requested change at the host
 */
public record ConfigPage(
        boolean ready,
        long offset,
        ImmutableList<String> records,
        Optional<String> snapshot,
        ChangeStatus changeStatus) {
    public ConfigPage {
        checkNotNull(records, "records");
        checkNotNull(snapshot, "snapshot");
        checkNotNull(changeStatus, "changeStatus");
    }
}
