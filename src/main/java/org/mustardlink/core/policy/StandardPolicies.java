package org.mustardlink.core.policy;

import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.Policies;
import org.mustardlink.core.SlotSharing;

/** The policies that the daemon uses. */
public final class StandardPolicies {
    private StandardPolicies() {}

    /** Returns the standard admission, ejection and slot sharing with the given placement. */
    public static Policies with(PlacementPolicy placement) {
        return new Policies(placement, BacklogAdmission.create(), SuspicionEjection.create(), SlotSharing.FIXED);
    }
}
