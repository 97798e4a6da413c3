/**
 * Decides which entry host is the master of each pool.
 *
 * <p>The decision is about liveness only: two hosts that both take themselves for the master are harmless, because
 * targets obey the higher fencing token. Claims are ordered by a conditional append to the platform's log; while the log
 * can't be reached a host claims by its token alone. Start reading at {@link org.mustardlink.ownership.PoolOwnership}.
 */
package org.mustardlink.ownership;
