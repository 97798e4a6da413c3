package org.mustardlink.core;

/** How the entry hosts of a failure domain divide the slots of its targets. */
public enum SlotSharing {
    /** Each host uses every slot that its local view and the load reports show as free; refusals are frequent. */
    LOCAL_VIEW,
    /** Each host uses an equal part of each target. */
    FIXED,
    /** Equal parts, of which unused slots are lent for a short term to hosts whose tasks wait. */
    MOVING
}
