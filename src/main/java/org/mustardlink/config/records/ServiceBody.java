package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Body of a service.
 *
 * @param minSlots slots that must stay in use in each failure domain that has targets of the service; a drain that
 *     leaves fewer draws a warning; 0 for no bound
 */
public record ServiceBody(int minSlots) {
    public ServiceBody {
        checkArgument(minSlots >= 0, "minSlots must not be negative: %s", minSlots);
    }
}
