/**
 * Settings of processes and configuration records of operators.
 *
 * <p>Start at {@link org.mustardlink.config.records.ConfigState} for records and at {@link
 * org.mustardlink.config.replica.ConfigReplica} for a host's copy of them.
 */
package org.mustardlink.config;
