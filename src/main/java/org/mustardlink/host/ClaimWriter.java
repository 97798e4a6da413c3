package org.mustardlink.host;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.ownership.Claim;
import org.mustardlink.ownership.PoolOwnership.ClaimOutcome;
import org.mustardlink.platform.StoreClient;
import org.mustardlink.platform.StoreTopics;

/** Writes claims of this host to the store, on condition that no claim was added since this host last read them. */
final class ClaimWriter {
    private final StoreClient store;
    private final StoreFollower storeFollower;
    private final EventLog log;

    ClaimWriter(StoreClient store, StoreFollower storeFollower, EventLog log) {
        this.store = store;
        this.storeFollower = storeFollower;
        this.log = log;
    }

    /** Writes a claim; {@code onOutcome} is called on an I/O thread. */
    void write(Claim claim, BiConsumer<Claim, ClaimOutcome> onOutcome) {
        StoredClaim stored = StoredClaim.of(claim);
        CompletableFuture<StoreClient.AppendOutcome> _sent = store.append(
                        StoreTopics.CLAIMS, stored.key(), stored.toJson(), storeFollower.claimsEndOffset())
                .whenComplete((appendOutcome, failure) -> {
                    ClaimOutcome outcome = failure == null ? toClaimOutcome(appendOutcome) : ClaimOutcome.NO_ANSWER;
                    log.line(LogEvent.CLAIM_ANSWERED)
                            .with(LogField.POOL, claim.pool())
                            .with(LogField.ROUND, claim.round())
                            .with(LogField.REASON, outcome)
                            .write();
                    onOutcome.accept(claim, outcome);
                });
    }

    private static ClaimOutcome toClaimOutcome(StoreClient.AppendOutcome appendOutcome) {
        return switch (appendOutcome) {
            case APPENDED -> ClaimOutcome.WRITTEN;
            case OTHER_END -> ClaimOutcome.LOST;
            case REFUSED -> ClaimOutcome.NO_ANSWER;
        };
    }
}
