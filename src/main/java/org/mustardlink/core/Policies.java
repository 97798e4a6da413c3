package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Every decision of the core that can be exchanged.
 *
 * @param placement chooses targets
 * @param admission refuses jobs that cannot meet their deadline
 * @param sharing how slots are divided between the entry hosts of a failure domain
 */
public record Policies(PlacementPolicy placement, AdmissionPolicy admission, SlotSharing sharing) {
    public Policies {
        checkNotNull(placement, "placement");
        checkNotNull(admission, "admission");
        checkNotNull(sharing, "sharing");
    }

    /** Returns policies that only place tasks: every job is accepted. */
    public static Policies of(PlacementPolicy placement) {
        return new Policies(placement, AdmissionPolicy.acceptAll(), SlotSharing.FIXED);
    }

    /** Returns these policies with another way to divide slots. */
    public Policies withSharing(SlotSharing other) {
        return new Policies(placement, admission, other);
    }
}
