/**
 * Decides which targets are drained now, from weekly windows, operators' orders and the platform's leaving marks.
 *
 * <p>Pure: every host decides from its own copy of the configuration and its own clock, so a drain needs no message.
 * Start reading at {@link org.mustardlink.drain.DrainPlanner}.
 */
package org.mustardlink.drain;
