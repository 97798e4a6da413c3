/**
 * Runs a dispatch host on the users' platform: connects the packages {@code front}, {@code ownership} and {@code pool},
 * which make the decisions, to the store, the targets, the callers and the other hosts, and owns the threads.
 *
 * <p>One loop thread makes every decision. The entry point is {@link org.mustardlink.host.DispatchHost}.
 */
package org.mustardlink.host;
