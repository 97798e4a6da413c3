package org.mustardlink.peer;

import org.mustardlink.config.replica.ConfigPage;
import org.mustardlink.drain.TargetReport;

/** Answers requests of other entry hosts for configuration and drain reports. Implementations must not block. */
public interface ConfigResponder {
    /**
     * Returns a page of the configuration.
     *
     * @param offset first offset of the page
     * @param changeId change whose status the page reports, empty for none
     */
    ConfigPage pageSince(long offset, String changeId);

    /** Returns a report on the tasks that this host has in flight at a target. */
    TargetReport drainReport(String target);
}
