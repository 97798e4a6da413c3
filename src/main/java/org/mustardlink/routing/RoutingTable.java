package org.mustardlink.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Routes, services and limits of one version of the operators' configuration. Immutable. */
public final class RoutingTable {
    private final long version;
    private final ImmutableListMultimap<String, Route> routesByHost;
    private final ImmutableSet<String> services;
    private final int maxBodyBytes;

    private RoutingTable(
            long version,
            ImmutableListMultimap<String, Route> byHost,
            ImmutableSet<String> services,
            int maxBodyBytes) {
        this.version = version;
        this.routesByHost = byHost;
        this.services = services;
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Creates a table.
     *
     * @param version version number of the configuration; later configurations have higher numbers
     * @param routes the routes
     * @param services services whose targets may be used
     * @param maxBodyBytes maximum size of a request body in bytes
     */
    public static RoutingTable create(
            long version, ImmutableList<Route> routes, ImmutableSet<String> services, int maxBodyBytes) {
        checkNotNull(services, "services");
        ImmutableList<Route> longestFirst = ImmutableList.sortedCopyOf(
                Comparator.comparing((Route route) -> -route.pathStart().length())
                        .thenComparing(Route::name),
                routes);
        return new RoutingTable(
                version,
                Multimaps.index(longestFirst, route -> route.virtualHost().toLowerCase(Locale.ROOT)),
                services,
                maxBodyBytes);
    }

    /** Returns the version number of the configuration. */
    public long version() {
        return version;
    }

    /** Returns the services whose targets may be used. */
    public ImmutableSet<String> services() {
        return services;
    }

    /** Returns the maximum size of a request body in bytes. */
    public int maxBodyBytes() {
        return maxBodyBytes;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routesByHost.size();
    }

    /**
     * Returns the route of a virtual host whose path prefix is the longest that matches.
     *
     * @param virtualHost value of the {@code Host} header, with or without a port
     * @param path path of the request
     */
    public Optional<Route> findRoute(String virtualHost, String path) {
        String name = virtualHost.toLowerCase(Locale.ROOT);
        int colon = name.lastIndexOf(':');
        if (colon >= 0) {
            name = name.substring(0, colon);
        }
        for (Route route : routesByHost.get(name)) {
            if (path.startsWith(route.pathStart())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
