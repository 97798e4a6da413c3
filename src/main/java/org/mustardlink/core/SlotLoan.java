package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Slots of one target that one entry host lends to another.
 *
 * @param target id of the target
 * @param slots number of slots lent, positive
 */
public record SlotLoan(String target, int slots) {
    public SlotLoan {
        checkNotNull(target, "target");
        checkArgument(slots > 0, "slots must be positive: %s", slots);
    }
}
