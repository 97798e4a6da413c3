/**
 * Decides which dispatch host is the master of each pool.
 *
 * <p>The decision affects liveness only. Two hosts that both act as the master of a pool do no harm, because targets
 * accept only the highest fencing token they have seen. Claims are ordered by conditional appends to the platform's
 * log. While the log is unreachable, a host may act under a claim that only its fencing token backs. Start reading at
 * {@link org.mustardlink.ownership.PoolOwnership}.
 */
package org.mustardlink.ownership;
