package org.mustardlink.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An entry host as it introduces itself.
 *
 * @param id the host
 * @param domain its failure domain
 * @param incarnation number of its process life, unique
 * @param address where other hosts reach it, {@code ip:port}
 * @param cpuMillis its processors in thousandths of a core
 */
public record HostInfo(String id, String domain, long incarnation, String address, int cpuMillis) {
    public HostInfo {
        checkNotNull(id, "id");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
    }

    // Compared at each look at who comes first for a pool: generated methods of records are several times slower
    // without the
    // second compiler.
    @Override
    public boolean equals(Object object) {
        return this == object
                || (object instanceof HostInfo other
                        && incarnation == other.incarnation
                        && cpuMillis == other.cpuMillis
                        && id.equals(other.id)
                        && domain.equals(other.domain)
                        && address.equals(other.address));
    }

    @Override
    public int hashCode() {
        return 31 * id.hashCode() + Long.hashCode(incarnation);
    }
}
