/**
 * A host's copy of the configuration: it follows the log, exchanges records with other entry hosts, writes snapshots and
 * publishes operators' changes.
 *
 * <p>Every host reads the log for itself and asks a random peer a few times a second for what it lacks, so a change
 * reaches a host over whichever path works. Start reading at {@link org.mustardlink.config.replica.ConfigReplica}.
 */
package org.mustardlink.config.replica;
