package org.mustardlink.core;

import com.google.common.collect.EnumMultiset;
import com.google.common.collect.Multiset;

/** Counters of the core's decisions since it was created. */
final class Counters {
    private final Multiset<Reason> verdicts = EnumMultiset.create(Reason.class);
    private final Multiset<AttemptResult.NotStartedCause> refusedStarts =
            EnumMultiset.create(AttemptResult.NotStartedCause.class);
    private long starts;
    private long retries;
    private long ejections;
    private long peerMessages;

    void countStart(boolean retry) {
        starts++;
        retries += retry ? 1 : 0;
    }

    void countRefusedStart(AttemptResult.NotStartedCause cause) {
        refusedStarts.add(cause);
    }

    void countVerdict(Reason reason) {
        verdicts.add(reason);
    }

    void countEjection() {
        ejections++;
    }

    void countPeerMessage() {
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
