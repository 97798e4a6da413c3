/**
 * Dispatches callers' requests on the entry host that accepted them: chooses the pool, sends the job to its master,
 * resends it to the next master when a master is lost, and sends the caller one final response.
 *
 * <p>The package is deterministic: it uses no clock, socket or thread. Start reading at
 * {@link org.mustardlink.front.RequestDispatcher}.
 */
package org.mustardlink.front;
