/**
 * Follows callers' requests on the entry host that took them: chooses the pool, hands the job to its master, goes on with
 * the next master when one is lost, and gives the caller one final answer.
 *
 * <p>Deterministic: no clock, socket or thread. Start reading at {@link org.mustardlink.front.RequestDispatcher}.
 */
package org.mustardlink.front;
