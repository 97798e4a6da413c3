package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;

/**
 * What a host states to the other hosts about pending starts. A start that isn't listed is left as it is; one that is
 * listed twice is refused, and kept for the time given.
 *
 * @param pending starts that may still be carried out, with the time for which the receiver keeps them unless they are
 *     stated again; not negative
 * @param refused starts that the current process of their target refuses
 * @param unlisted time for which starts may be pending that the sender doesn't know one by one; zero if there are none
 */
public record PendingStartStatement(
        ImmutableMap<PendingStart, Duration> pending, ImmutableList<PendingStart> refused, Duration unlisted) {
    public PendingStartStatement {
        checkNotNull(pending, "pending");
        checkNotNull(refused, "refused");
        checkNotNull(unlisted, "unlisted");
        checkArgument(!unlisted.isNegative(), "negative time: %s", unlisted);
        checkArgument(pending.values().stream().noneMatch(Duration::isNegative), "negative time: %s", pending);
    }
}
