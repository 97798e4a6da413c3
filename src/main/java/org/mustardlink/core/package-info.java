/**
 * Deterministic dispatch core of an entry host: tables of entities, the systems that process them each tick, and the
 * verdicts on jobs.
 *
 * <p>No code in this package reads a clock, opens a socket, starts a thread, writes a log or draws random numbers other
 * than from sources that the caller passes in, so the same code runs in the daemon and in tests. The entry point is
 * {@link org.mustardlink.core.DispatchCore}.
 */
package org.mustardlink.core;
