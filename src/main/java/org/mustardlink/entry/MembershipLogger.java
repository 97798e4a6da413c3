package org.mustardlink.entry;

import org.mustardlink.membership.Member;
import org.mustardlink.membership.MembershipListener;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;

/** Writes membership changes to the event log. */
final class MembershipLogger implements MembershipListener {
    private final EventLog log;

    MembershipLogger(EventLog log) {
        this.log = log;
    }

    @Override
    public void memberChanged(Member member, String cause) {
        log.line(LogEvent.MEMBER_CHANGED)
                .with(LogField.MEMBER, member.id())
                .with(LogField.INCARNATION, member.incarnation())
                .with(LogField.STATE, member.state())
                .with(LogField.CAUSE, cause)
                .write();
    }

    @Override
    public void selfReplaced(Member newer) {
        log.line(LogEvent.HOST_REPLACED)
                .with(LogField.INCARNATION, newer.incarnation())
                .with(LogField.PEER_ADDRESS, newer.peer())
                .write();
    }

    @Override
    public void processPauseDetected() {
        log.line(LogEvent.HOST_WOKE).write();
    }

    @Override
    public void eventFailed(RuntimeException failure) {
        log.line(LogEvent.MEMBERSHIP_FAILED).with(LogField.ERROR, failure).write();
    }
}
