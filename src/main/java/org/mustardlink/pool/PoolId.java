package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names a pool: the targets of one service in one failure domain.
 *
 * @param service the service
 * @param domain the failure domain
 */
public record PoolId(String service, String domain) implements Comparable<PoolId> {
    public PoolId {
        checkNotNull(service, "service");
        checkNotNull(domain, "domain");
    }

    @Override
    public int compareTo(PoolId other) {
        int byService = service.compareTo(other.service);
        return byService != 0 ? byService : domain.compareTo(other.domain);
    }

    @Override
    public String toString() {
        return service + '/' + domain;
    }
}
