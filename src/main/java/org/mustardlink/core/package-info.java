/**
 * The deterministic core: tables of entities, the systems run over them each tick, and the verdicts they reach.
 *
 * <p>Nothing here reads a clock, opens a socket, starts a thread, logs or draws random numbers except from what the
 * caller passes in, so the same code runs in the daemon and in its tests. Start reading at {@link
 * org.mustardlink.core.DispatchCore}.
 */
package org.mustardlink.core;
