package org.mustardlink.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The platform's list of hosts, which may be out of date.
 *
 * @param ageMs age of the list, in milliseconds
 * @param hosts the hosts
 */
public record HostListing(long ageMs, ImmutableList<Host> hosts) {
    public HostListing {
        checkNotNull(hosts, "hosts");
    }

    /**
     * A host on the list.
     *
     * @param id id of the entry host or target
     * @param kind whether the host is an entry host or a target
     * @param domain failure domain of the host
     * @param address {@code ip:port} of the host's main protocol: Thrift for an entry host, HTTP for a target
     * @param state whether the host is live or leaving
     */
    public record Host(String id, Kind kind, String domain, String address, State state) {
        public Host {
            checkNotNull(id, "id");
            checkNotNull(kind, "kind");
            checkNotNull(domain, "domain");
            checkNotNull(address, "address");
            checkNotNull(state, "state");
        }
    }

    /** Kind of a host. */
    public enum Kind {
        /** An entry host. */
        ENTRY,
        /** A target. */
        TARGET
    }

    /** State of a host according to the platform. */
    public enum State {
        /** The host is live. */
        LIVE,
        /** The host will be stopped soon. */
        LEAVING
    }
}
