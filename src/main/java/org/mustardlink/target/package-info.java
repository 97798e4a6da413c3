/**
 * HTTP client for targets: sends one task per request and reports whether the task may have started.
 *
 * <p>Start reading at {@link org.mustardlink.target.TargetClient}.
 */
package org.mustardlink.target;
