package org.mustardlink.directory;

import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving hosts, which may lag behind their actual state. */
@FunctionalInterface
public interface HostListService {
    /** Reads the list that the platform holds now. */
    CompletableFuture<HostListing> hosts();
}
