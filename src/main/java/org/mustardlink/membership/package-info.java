/**
 * Which entry hosts exist, under which incarnation and address, and which are suspected, leaving or gone.
 *
 * <p>Membership is a hint for routing and never a licence to start anything. {@code docs/membership.md} holds the rules.
 * Start reading at {@link org.mustardlink.membership.OwnerDirectory}.
 */
package org.mustardlink.membership;
