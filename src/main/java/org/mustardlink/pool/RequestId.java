package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names a caller's request across entry hosts.
 *
 * @param host the entry host that took it
 * @param incarnation that host's incarnation
 * @param number number of the request within the incarnation
 */
public record RequestId(String host, long incarnation, long number) {
    public RequestId {
        checkNotNull(host, "host");
    }

    // A key of the tables on every job's path: generated methods of records are several times slower without the second
    // compiler.
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
