package org.mustardlink.core;

import com.google.common.collect.EnumMultiset;
import com.google.common.collect.Multiset;

/** Counts of what the core decided since it was created. */
final class Counters {
    private final Multiset<Reason> verdicts = EnumMultiset.create(Reason.class);
    private final Multiset<AttemptResult.NotStartedCause> refusedStarts =
            EnumMultiset.create(AttemptResult.NotStartedCause.class);
    private long starts;
    private long retries;
    private long ejections;
    private long peerMessages;

    void started(boolean retry) {
        starts++;
        retries += retry ? 1 : 0;
    }

    void refused(AttemptResult.NotStartedCause cause) {
        refusedStarts.add(cause);
    }

    void settled(Reason reason) {
        verdicts.add(reason);
    }

    void ejected() {
        ejections++;
    }

    void peerMessage() {
        peerMessages++;
    }

    CoreSnapshot.Counts snapshot() {
        return new CoreSnapshot.Counts(
                starts,
                retries,
                ejections,
                peerMessages,
                CoreSnapshot.counts(verdicts),
                CoreSnapshot.counts(refusedStarts));
    }
}
