package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Slots that an entry host lacks for one service.
 *
 * @param service the service
 * @param slots slots that its waiting tasks could use now, positive
 */
public record SlotDemand(String service, int slots) {
    public SlotDemand {
        checkNotNull(service, "service");
        checkArgument(slots > 0, "slots must be positive: %s", slots);
    }
}
