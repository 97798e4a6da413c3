/**
 * Decides which targets are drained, based on weekly windows, operators' orders and the platform's host list.
 *
 * <p>Performs no I/O: every host decides by its own replica of the configuration and its own clock, so that a drain
 * needs no messages between hosts. Start reading at {@link org.mustardlink.drain.DrainPlanner}.
 */
package org.mustardlink.drain;
