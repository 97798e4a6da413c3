package org.mustardlink.config.replica;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Every time and bound of a replica.
 *
 * @param readsLog whether the host reads the log itself; otherwise it depends on its peers
 * @param logWait longest wait of one read of the log
 * @param retryPause pause after a failed read
 * @param pullPeriod mean time between two questions to a random peer
 * @param peerTimeout longest wait for a peer
 * @param snapshotRecords records after the newest snapshot that make a new one due
 * @param snapshotAge time after which any later record makes a new snapshot due, and after which the newest snapshot is
 *     written again so that it does not expire; far below the retention of the log
 * @param snapshotJitter longest random delay before a host writes a snapshot that is due
 */
public record ReplicaSettings(
        boolean readsLog,
        Duration logWait,
        Duration retryPause,
        Duration pullPeriod,
        Duration peerTimeout,
        int snapshotRecords,
        Duration snapshotAge,
        Duration snapshotJitter) {
    public ReplicaSettings {
        checkArgument(snapshotRecords > 0, "snapshotRecords must be positive: %s", snapshotRecords);
    }

    /** Returns the settings of a deployment. */
    public static ReplicaSettings defaults() {
        return new ReplicaSettings(
                true,
                Duration.ofSeconds(5),
                Duration.ofMillis(200),
                Duration.ofMillis(500),
                Duration.ofMillis(500),
                100,
                Duration.ofMinutes(10),
                Duration.ofSeconds(30));
    }
}
