/**
 * The master of a pool of targets that run tasks under leases. It decides which task starts on which target, which run
 * is stopped, and when a job ends.
 *
 * <p>A pool consists of the targets of one service in one failure domain, or of a shard of them. One host at a time,
 * the master of the pool, sends orders to the targets. Each target remembers the highest fencing token that it has seen
 * and refuses orders of earlier masters.
 *
 * <p>The package is deterministic: it uses no clock, socket, thread or random source. It receives events together with
 * the time at which they happened, and sends its orders to a {@link org.mustardlink.pool.PoolActions}.
 *
 * <p>It guarantees that the tasks on a target never exceed its capacity, and that two runs of one task never overlap. A
 * run counts as present from the time its start is ordered until the target reports its end, refuses the start, or the
 * lease under which it runs has certainly expired.
 *
 * <p>Start reading at {@link org.mustardlink.pool.PoolMaster}.
 */
package org.mustardlink.pool;
