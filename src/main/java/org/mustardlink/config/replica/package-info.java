/**
 * Replication of the configuration: a replica on each host reads the log, exchanges records with other entry hosts, writes
 * snapshots and publishes operators' changes.
 *
 * <p>Every host reads the log and also polls a random peer a few times a second for records that it lacks, so a change
 * reaches a host as long as one of the two paths works. The main class is {@link
 * org.mustardlink.config.replica.ConfigReplica}.
 */
package org.mustardlink.config.replica;
