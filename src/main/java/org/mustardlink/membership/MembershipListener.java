package org.mustardlink.membership;

/** Is told what the membership of a host notices. Called on the thread of the membership; must not block. */
public interface MembershipListener {
    /**
     * A record was added, or changed its incarnation, version or state.
     *
     * @param member the new record
     * @param cause what the change relies on
     */
    void memberChanged(Member member, String cause);

    /** Another process runs under this host's id with a later incarnation. */
    void selfReplaced(Member newer);

    /** The process was frozen; calls to peers that were under way say nothing about them. */
    void processPauseDetected();

    /** An event could not be handled; the membership goes on without it. */
    void eventFailed(RuntimeException failure);

    /** Returns a listener that ignores everything. */
    static MembershipListener noOp() {
        return new MembershipListener() {
            @Override
            public void memberChanged(Member _member, String _cause) {}

            @Override
            public void selfReplaced(Member _newer) {}

            @Override
            public void processPauseDetected() {}

            @Override
            public void eventFailed(RuntimeException _failure) {}
        };
    }
}
