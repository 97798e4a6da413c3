package org.mustardlink.core.policy;

import org.mustardlink.core.PlacementPolicy;
import org.mustardlink.core.Policies;
import org.mustardlink.core.SlotSharing;

/** The policies of the daemon. */
public final class StandardPolicies {
    private StandardPolicies() {}

    /** Returns the policies of the daemon with the given placement. */
    public static Policies with(PlacementPolicy placement) {
        return new Policies(placement, BacklogAdmission.create(), SlotSharing.FIXED);
    }
}
