package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Number of slots that an entry host requests for one service.
 *
 * @param service name of the service
 * @param slots number of slots that its queued tasks could use now, positive
 */
public record SlotDemand(String service, int slots) {
    public SlotDemand {
        checkNotNull(service, "service");
        checkArgument(slots > 0, "slots must be positive: %s", slots);
    }
}
