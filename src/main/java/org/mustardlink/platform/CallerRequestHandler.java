package org.mustardlink.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.mustardlink.front.CallerResponse;
import org.mustardlink.routing.Route;
import org.mustardlink.routing.RoutingTable;

/** Handles the requests that a {@link CallerEndpoint} decodes. */
public interface CallerRequestHandler {
    /** Returns the current routing table, or empty if the configuration has not been read yet. */
    Optional<RoutingTable> routingTable();

    /** Runs an action once the configuration has been read, or after a short time-out if it has not. */
    void runWhenConfigured(Runnable action);

    /** Returns whether the load balancer may route new connections to this host. */
    boolean isReady();

    /** Returns whether the process is shutting down, so that callers should connect to another host. */
    boolean isStopping();

    /**
     * Submits a job.
     *
     * @param route the route that matched the request
     * @param job id of the job
     * @param document the decoded job
     * @param configVersion version of the configuration that the route belongs to
     * @param timeout time until the caller's deadline
     * @param onResponse receives the final response, once
     * @return number of the request
     */
    long submit(
            Route route,
            String job,
            DocumentDecoder.Job document,
            long configVersion,
            Duration timeout,
            Consumer<CallerResponse> onResponse);

    /** Called when the caller of a request has closed its connection. */
    void onCallerDisconnected(long request);

    /** Cancels a job; {@code onResult} receives whether the job was open on any host. */
    void cancel(String job, Consumer<Boolean> onResult);

    /** Called when a request gets an error response and no job was submitted. */
    void onRejected(OptionalLong configVersion, String path, int status, String reason);
}
