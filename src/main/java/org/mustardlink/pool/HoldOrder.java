package org.mustardlink.pool;

import java.util.OptionalLong;

/**
 * Extends a target's lease and asks for its runs.
 *
 * @param number number of the order, to match its report
 * @param fence the fencing token
 * @param deadlineMs end of the lease on the target's clock, none while that clock isn't known
 * @param acknowledged highest number of an end that the target may forget
 * @param waitMs how long the target may wait for an end before it answers
 */
public record HoldOrder(long number, long fence, OptionalLong deadlineMs, long acknowledged, int waitMs) {}
