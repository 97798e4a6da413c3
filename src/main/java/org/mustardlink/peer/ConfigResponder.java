package org.mustardlink.peer;

import org.mustardlink.config.replica.ConfigPage;
import org.mustardlink.drain.TargetReport;

/** Answers the questions of other entry hosts about configuration and drains. Must not block. */
public interface ConfigResponder {
    /**
     * Returns the configuration from an offset on.
     *
     * @param offset first offset wanted
     * @param changeId change whose standing is wanted, empty for none
     */
    ConfigPage pageSince(long offset, String changeId);

    /** Returns what this host still has at a target. */
    TargetReport drainReport(String target);
}
