package org.mustardlink.core;

/** Statement of a verdict on whether any task of the submission may have run. */
public enum Outcome {
    /** Every task ran and every result is present. */
    COMPLETE,
    /** No task has started, and none will ever start under this submission id. */
    NOT_RUN,
    /** The job failed and at least one task may have started. */
    MAY_HAVE_RUN
}
