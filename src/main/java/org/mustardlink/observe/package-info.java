/**
 * Observability of a host: metrics, log events and a status document. Nothing here changes the behavior
 * of the host.
 *
 * <p>Start reading at {@link org.mustardlink.observe.EntryObserver}.
 */
package org.mustardlink.observe;
