package org.mustardlink.pool;

import java.util.OptionalLong;

/**
 * An order that extends the lease of a target and requests a report of its runs.
 *
 * @param sequenceNumber number of the order, by which its report is matched
 * @param fencingToken the master's fencing token for the target
 * @param leaseDeadlineMs end of the lease on the target's clock; empty if the lease isn't extended, as while that clock
 *     isn't known
 * @param acknowledgedUpTo highest sequence number of a run's end that the master has received, up to which the target
 *     may discard ends
 * @param waitMs how long the target may wait for the end of a run before it reports
 */
public record LeaseExtension(
        long sequenceNumber, long fencingToken, OptionalLong leaseDeadlineMs, long acknowledgedUpTo, int waitMs) {}
