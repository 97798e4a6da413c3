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
}
