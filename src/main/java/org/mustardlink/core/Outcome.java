package org.mustardlink.core;

/** What a verdict says about whether any task of a submission may have run. */
public enum Outcome {
    /** Every task ran and every result is present. */
    COMPLETE,
    /** No task started and none ever will under this submission id. */
    NOT_RUN,
    /** The job failed and at least one task may have started. */
    MAY_HAVE_RUN
}
