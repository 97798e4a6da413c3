package org.mustardlink.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * A configured route for callers' requests: which requests match it and how their jobs are served.
 *
 * @param name the name of the route
 * @param virtualHost value of the {@code Host} header, without a port
 * @param pathStart prefix of the request path
 * @param service the service whose targets run the tasks
 * @param timeout maximum duration of a request; zero means no limit
 * @param objective fixed part of the latency objective: a response within the objective counts in full
 * @param stretch variable part of the latency objective, as a multiple of the job's longest chain of dependent tasks
 * @param priority priority of the jobs; 0 is the highest
 * @param maxAttempts number of failed runs of a task after which its job fails
 */
public record Route(
        String name,
        String virtualHost,
        String pathStart,
        String service,
        Duration timeout,
        Duration objective,
        double stretch,
        int priority,
        int maxAttempts) {
    public Route {
        checkNotNull(name, "name");
        checkNotNull(virtualHost, "virtualHost");
        checkNotNull(pathStart, "pathStart");
        checkNotNull(service, "service");
        checkNotNull(timeout, "timeout");
        checkNotNull(objective, "objective");
        checkArgument(maxAttempts > 0, "maxAttempts must be positive: %s", maxAttempts);
    }
}
