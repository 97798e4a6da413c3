/**
 * Measures what the membership costs and how fast news travels, with real Thrift hosts on loopback.
 *
 * <p>Start reading at {@link org.mustardlink.peer.bench.MembershipBench}.
 */
package org.mustardlink.peer.bench;
