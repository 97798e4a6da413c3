package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Body of a team.
 *
 * @param quota maximum number of concurrent tasks, positive
 * @param weight weight in weighted fair queueing, positive
 */
public record TeamBody(int quota, double weight) {
    public TeamBody {
        checkArgument(quota > 0, "quota must be positive: %s", quota);
        checkArgument(weight > 0, "weight must be positive: %s", weight);
    }
}
