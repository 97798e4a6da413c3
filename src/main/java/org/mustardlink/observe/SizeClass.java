package org.mustardlink.observe;

import com.google.common.base.Ascii;

/** Size of a job relative to the mean of its queue. */
public enum SizeClass {
    /** Below half of the mean. */
    BELOW_HALF,
    /** From half of the mean up to the mean. */
    UP_TO_MEAN,
    /** Above the mean, up to twice the mean. */
    UP_TO_TWICE,
    /** Above twice the mean. */
    ABOVE_TWICE;

    /** Returns the class of a job, given its declared processor time and the mean of its queue in the same unit. */
    public static SizeClass of(double work, double meanWork) {
        if (work < meanWork / 2) {
            return BELOW_HALF;
        }
        if (work <= meanWork) {
            return UP_TO_MEAN;
        }
        return work <= 2 * meanWork ? UP_TO_TWICE : ABOVE_TWICE;
    }

    String label() {
        return Ascii.toLowerCase(name());
    }
}
