package org.mustardlink.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The list of hosts as of some time ago.
 *
 * @param ageMs how old the list is, in milliseconds
 * @param hosts the hosts
 */
public record HostListing(long ageMs, ImmutableList<Host> hosts) {
    public HostListing {
        checkNotNull(hosts, "hosts");
    }

    /**
     * One host.
     *
     * @param id id of the entry host or target
     * @param kind what runs on it
     * @param domain its failure domain
     * @param address {@code ip:port} of its main protocol: Thrift for an entry host, HTTP for a target
     * @param state whether it is live or leaving
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

    /** What runs on a host. */
    public enum Kind {
        /** An entry host. */
        ENTRY,
        /** A target. */
        TARGET
    }

    /** What the platform says of a host. */
    public enum State {
        /** The host is live. */
        LIVE,
        /** The host will be stopped soon. */
        LEAVING
    }
}
