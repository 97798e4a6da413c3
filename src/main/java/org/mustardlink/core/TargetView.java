package org.mustardlink.core;

/** What a placement policy may know about a target. */
public interface TargetView {
    /** Returns the declaration. */
    TargetSpec spec();

    /** Returns the attempts of this entry host in flight at the target. */
    int outstanding();

    /** Returns the slots that this entry host may use now and does not use. */
    int freeSlots();
}
