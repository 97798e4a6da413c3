package org.mustardlink.observe;

import com.google.common.base.Ascii;

/** Outcome of a job in the metrics, as its caller sees it. */
public enum JobOutcome {
    /** Every task of the job has completed. */
    COMPLETE,
    /** No task of the job has run or will run. */
    REFUSED,
    /** The job ended without a complete answer; tasks of it may have run. */
    ENDED;

    String label() {
        return Ascii.toLowerCase(name());
    }
}
