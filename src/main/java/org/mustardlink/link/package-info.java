/**
 * Carries messages between entry hosts: one connection each way per pair of hosts, frames in Thrift's compact protocol.
 *
 * <p>Messages may be lost with a connection; senders repeat what matters when a link is replaced. Start reading at
 * {@link org.mustardlink.link.PeerLinks}.
 */
package org.mustardlink.link;
