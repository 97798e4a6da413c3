package org.mustardlink.directory;

import java.util.concurrent.CompletableFuture;

/** The platform's lagging list of live and leaving hosts. */
@FunctionalInterface
public interface HostListService {
    /** Reads the list as the platform sees it now. */
    CompletableFuture<HostListing> hosts();
}
