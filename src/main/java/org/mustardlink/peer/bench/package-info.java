/**
 * Measures the cost of the membership and the time until changes are known to all hosts, with Thrift over loopback.
 *
 * <p>Start reading at {@link org.mustardlink.peer.bench.MembershipBench}.
 */
package org.mustardlink.peer.bench;
