/**
 * Messages and TCP connections between dispatch hosts. Each pair of hosts has one connection per direction, which
 * carries length-prefixed frames in Thrift's compact protocol.
 *
 * <p>Messages in flight are lost when a connection breaks; senders repeat the messages that matter once the connection
 * has been re-established. Start reading at {@link org.mustardlink.link.PeerLinks}.
 */
package org.mustardlink.link;
