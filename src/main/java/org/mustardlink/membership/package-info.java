/**
 * Tracks which entry hosts exist, under which incarnation and address, and which are suspected, leaving or gone.
 *
 * <p>Membership is a hint for routing and never allows a host to start a task. The rules are described in
 * {@code docs/membership.md}. The main entry point is {@link org.mustardlink.membership.OwnerDirectory}.
 */
package org.mustardlink.membership;
