/**
 * Thrift calls between entry hosts: submissions, lookups and cancellations for sessions that another entry host owns,
 * handovers, configuration, drain reports and the membership.
 *
 * <p>Start reading at {@link org.mustardlink.peer.PeerServer}; {@code peer.thrift} in {@code src/main/thrift} defines
 * the messages, and the package {@code thrift} holds the code generated from it.
 */
package org.mustardlink.peer;
