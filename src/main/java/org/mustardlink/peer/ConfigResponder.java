package org.mustardlink.peer;

import org.mustardlink.config.replica.ConfigPage;
import org.mustardlink.drain.TargetReport;

/** Answers the questions of other entry hosts about configuration and drains. Must not block. */
public interface ConfigResponder {
    /**
     * Returns the configuration from an offset on.
     *
     * @param from first offset wanted
     * @param change change whose standing is wanted, empty for none
     */
    ConfigPage since(long from, String change);

    /** Returns what this host still has at a target. */
    TargetReport report(String target);
}
