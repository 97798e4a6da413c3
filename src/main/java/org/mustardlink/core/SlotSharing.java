package org.mustardlink.core;

/** How the entry hosts of a failure domain divide the slots of its targets. */
public enum SlotSharing {
    /** Each host uses all slots that its own starts and the load reports show as free; refusals are frequent. */
    LOCAL_VIEW,
    /** Each host uses an equal share of each target. */
    FIXED,
    /** Equal shares; in addition, hosts use slots that a recent load report shows as free. */
    REPORTED,
    /** Equal shares; in addition, hosts lend unused slots for a short term to hosts with queued tasks. */
    MOVING
}
