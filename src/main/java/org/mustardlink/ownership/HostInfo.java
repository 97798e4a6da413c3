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
}
