package org.mustardlink.config.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * A host's configuration from an offset on.
 *
 * @param ready whether the host serves; one that does not has nothing to pass on
 * @param offset offset of the host's configuration
 * @param records records from the asked offset on, in order; may end before the host's offset
 * @param snapshot snapshot in place of records that the host no longer keeps
 * @param changeStatus where the asked change stands
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
        checkNotNull(changeStatus, "standing");
    }
}
