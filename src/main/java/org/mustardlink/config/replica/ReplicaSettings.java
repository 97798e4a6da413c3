package org.mustardlink.config.replica;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Time-outs, intervals and limits of a replica.
 *
 * @param readsLog whether the host reads the log; otherwise it obtains the configuration only from its peers
 * @param logWait maximum time that one read of the log waits for new records
 * @param retryPause delay before a failed read is retried
 * @param pullPeriod mean interval between polls of a random peer
 * @param peerTimeout time-out of a request to a peer
 * @param snapshotRecords number of records after the newest snapshot at which a new snapshot is due
 * @param snapshotAge age of the newest snapshot at which a new one is due, even without new records, so that the log
 *     always holds a snapshot that has not expired; must be far below the retention of the log
 * @param snapshotJitter maximum random delay before a host writes a snapshot that is due
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

    /** Returns the default settings. */
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
