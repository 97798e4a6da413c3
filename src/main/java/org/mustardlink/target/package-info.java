/**
 * The client of targets: sends one task per request and reports truthfully whether it may have started.
 *
 * <p>Start reading at {@link org.mustardlink.target.TargetClient}.
 */
package org.mustardlink.target;
