package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Every decision of the core that can be exchanged.
 *
 * @param placement chooses targets
 * @param admission refuses jobs that cannot meet their deadline
 * @param ejection decides which targets get no tasks for a while
 * @param sharing how slots are divided between the entry hosts of a failure domain
 */
public record Policies(
        PlacementPolicy placement, AdmissionPolicy admission, EjectionPolicy ejection, SlotSharing sharing) {
    public Policies {
        checkNotNull(placement, "placement");
        checkNotNull(admission, "admission");
        checkNotNull(ejection, "ejection");
        checkNotNull(sharing, "sharing");
    }

    /** Returns policies that only place tasks: every job is accepted and no target ejected. */
    public static Policies of(PlacementPolicy placement) {
        return new Policies(placement, AdmissionPolicy.acceptAll(), EjectionPolicy.never(), SlotSharing.FIXED);
    }

    /** Returns these policies with another way to divide slots. */
    public Policies withSharing(SlotSharing other) {
        return new Policies(placement, admission, ejection, other);
    }
}
