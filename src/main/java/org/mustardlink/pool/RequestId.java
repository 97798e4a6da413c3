package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The id of a caller's request, unique across entry hosts.
 *
 * @param host the entry host that received the request
 * @param incarnation the incarnation of that host
 * @param number number of the request within the incarnation
 */
public record RequestId(String host, long incarnation, long number) {
    public RequestId {
        checkNotNull(host, "host");
    }

    // Written by hand, because this is a hash key on the path of every job, and the generated methods of records are
    // several times slower without the C2 compiler.
    @Override
    public boolean equals(Object object) {
        return this == object
                || (object instanceof RequestId other
                        && number == other.number
                        && incarnation == other.incarnation
                        && host.equals(other.host));
    }

    @Override
    public int hashCode() {
        return (31 * host.hashCode() + Long.hashCode(incarnation)) * 31 + Long.hashCode(number);
    }
}
