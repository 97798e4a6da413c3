/**
 * Configuration records written by operators, and settings files of processes.
 *
 * <p>{@link org.mustardlink.config.records.ConfigState} holds the result of the records and {@link
 * org.mustardlink.config.replica.ConfigReplica} is the replica that each host keeps of it.
 */
package org.mustardlink.config;
