/**
 * Runs a dispatch host on the users' platform: wires the decisions of {@code front}, {@code ownership} and {@code pool}
 * to the store, the targets, the callers and the other hosts, and owns the threads.
 *
 * <p>One loop thread runs every decision. Start reading at {@link org.mustardlink.host.DispatchHost}.
 */
package org.mustardlink.host;
