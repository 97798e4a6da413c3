package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;

/**
 * What a host states to the other hosts about pending starts. A start that isn't listed is left as it is.
 *
 * @param pending starts that may still be carried out, with the time for which the receiver keeps them unless they are
 *     stated again; not negative
 * @param settled starts that were pending and can no longer be carried out
 */
public record PendingStartStatement(ImmutableMap<PendingStart, Duration> pending, ImmutableList<PendingStart> settled) {
    public PendingStartStatement {
        checkNotNull(pending, "pending");
        checkNotNull(settled, "settled");
        checkArgument(pending.values().stream().noneMatch(Duration::isNegative), "negative time: %s", pending);
    }
}
