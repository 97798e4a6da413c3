package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Body of a service.
 *
 * @param minSlots minimum number of slots that must remain in each failure domain that has targets of the service; a
 *     drain that leaves fewer causes a warning; 0 for no minimum
 */
public record ServiceBody(int minSlots) {
    public ServiceBody {
        checkArgument(minSlots >= 0, "minSlots must not be negative: %s", minSlots);
    }
}
