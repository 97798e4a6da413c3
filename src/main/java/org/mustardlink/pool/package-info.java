/**
 * Decides, for one pool of targets that run tasks under leases, which task starts where, which run is stopped and when a
 * job ends.
 *
 * <p>A pool is the targets of one service in one failure domain. One entry host at a time, its master, gives orders to
 * them; the fencing token that each target keeps makes every earlier master harmless. The package is deterministic: it
 * has no clock, socket, thread or random source, takes events with the time at which they happened, and sends its orders
 * to a {@link org.mustardlink.pool.PoolActions}. It promises that a target never holds more than its capacity, and that
 * two runs of one task never overlap: a run counts as present from the moment its start is ordered until the target
 * lists its end, refuses it, or the lease under which it runs has certainly expired.
 *
 * <p>Start reading at {@link org.mustardlink.pool.PoolMaster}.
 */
package org.mustardlink.pool;
