package org.mustardlink.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.mustardlink.front.Answer;
import org.mustardlink.routing.Route;
import org.mustardlink.routing.RoutingTable;

/** Answers the requests that a {@link CallerEndpoint} decodes. */
public interface CallerRequestHandler {
    /** Returns the configuration in force, if there is any yet. */
    Optional<RoutingTable> routingTable();

    /** Runs an action when there is a configuration, or after a short while without one. */
    void runWhenConfigured(Runnable action);

    /** Returns whether the balancer may send new connections. */
    boolean isReady();

    /** Returns whether the process is about to end, so that callers should connect elsewhere. */
    boolean isStopping();

    /**
     * Takes a job.
     *
     * @param route its queue
     * @param job its id
     * @param document the job
     * @param configVersion number of the configuration that routed it
     * @param timeout time to the caller's deadline
     * @param onAnswer gets the one final answer
     * @return number of the request
     */
    long submit(
            Route route,
            String job,
            DocumentDecoder.Job document,
            long configVersion,
            Duration timeout,
            Consumer<Answer> onAnswer);

    /** Notes that the caller of a request has closed its connection. */
    void onCallerDisconnected(long request);

    /** Cancels a job; tells whether it was open anywhere. */
    void cancel(String job, Consumer<Boolean> onResult);

    /** Notes a request that ends without having been submitted. */
    void onRejected(OptionalLong configVersion, String path, int status, String reason);
}
