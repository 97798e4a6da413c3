/**
 * The entry host daemon, which connects the core to callers, peers, targets and the platform, and owns the threads.
 *
 * <p>Start reading at {@link org.mustardlink.entry.EntryHost}.
 */
package org.mustardlink.entry;
