package org.mustardlink.pool;

import java.util.OptionalLong;

/**
 * Extends a target's lease and asks for its runs.
 *
 * @param sequenceNumber number of the order, to match its report
 * @param fencingToken the fencing token
 * @param leaseDeadlineMs end of the lease on the target's clock, none while that clock isn't known
 * @param acknowledgedUpTo highest number of an end that the target may forget
 * @param waitMs how long the target may wait for an end before it answers
 */
public record LeaseExtension(
        long sequenceNumber, long fencingToken, OptionalLong leaseDeadlineMs, long acknowledgedUpTo, int waitMs) {}
