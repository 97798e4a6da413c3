package org.mustardlink.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identity, location and size of a dispatch host, as the host reports them to other hosts.
 *
 * @param id the name of the host
 * @param domain its failure domain
 * @param incarnation identifies one run of its process; unique
 * @param address the address at which other hosts connect to it, {@code ip:port}
 * @param cpuMillis its CPU capacity in thousandths of a core
 */
public record HostInfo(String id, String domain, long incarnation, String address, int cpuMillis) {
    public HostInfo {
        checkNotNull(id, "id");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
    }

    // Compared whenever the claim order of a pool is evaluated. The generated methods of a record are several times
    // slower when the JVM runs without its second compiler (C2).
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
