package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The pluggable decisions of the core.
 *
 * @param placement chooses the target of each task
 * @param admission refuses jobs that cannot meet their deadline
 * @param ejection decides which failing targets get no tasks for some time
 * @param sharing how the entry hosts of a failure domain divide the slots of its targets
 */
public record Policies(
        PlacementPolicy placement, AdmissionPolicy admission, EjectionPolicy ejection, SlotSharing sharing) {
    public Policies {
        checkNotNull(placement, "placement");
        checkNotNull(admission, "admission");
        checkNotNull(ejection, "ejection");
        checkNotNull(sharing, "sharing");
    }

    /** Returns policies with the given placement that admit every job, eject no target and use fixed shares. */
    public static Policies of(PlacementPolicy placement) {
        return new Policies(placement, AdmissionPolicy.acceptAll(), EjectionPolicy.never(), SlotSharing.FIXED);
    }

    /** Returns a copy of these policies with the given slot sharing. */
    public Policies withSharing(SlotSharing other) {
        return new Policies(placement, admission, ejection, other);
    }
}
