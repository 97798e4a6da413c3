package org.mustardlink.membership;

/**
 * Receives events of the membership of one host. Called on the membership thread, so implementations must not block.
 */
public interface MembershipListener {
    /**
     * Called when a record was added, or changed its incarnation, version or state.
     *
     * @param member the new record
     * @param cause why the record changed
     */
    void memberChanged(Member member, String cause);

    /** Called when another process runs under the id of this host with a later incarnation. */
    void selfReplaced(Member newer);

    /** Called when this process was paused. Results of calls outstanding at that time say nothing about the peers. */
    void processPauseDetected();

    /** Called when the handling of events failed. The membership continues with the next events. */
    void eventFailed(RuntimeException failure);

    /** Returns a listener that ignores all events. */
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
