package org.mustardlink.config.records;

import com.google.common.base.Ascii;

/** Kinds of entities that this version knows. Entities of other kinds are kept in the state and in snapshots. */
public enum Kind {
    /** A service and the minimum capacity that it needs. */
    SERVICE,
    /** A target of a service. */
    TARGET,
    /** A team, with its quota and its weight. */
    TEAM,
    /** A weekly window in which targets are drained. */
    WINDOW,
    /** Parameters of the dispatch policy. */
    POLICY,
    /** An operator's order to drain or to release one target. */
    DRAIN;

    /** Returns the name used in records. */
    public String wireName() {
        return Ascii.toLowerCase(name());
    }
}
