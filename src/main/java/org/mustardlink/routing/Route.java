package org.mustardlink.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * A callers' queue: which requests belong to it and how its jobs are served.
 *
 * @param name the queue
 * @param virtualHost value of the {@code Host} header
 * @param pathStart what the path begins with
 * @param service the service whose targets run the tasks
 * @param timeout longest time that a request may take, zero for no bound
 * @param objective fixed part of the time within which an answer counts in full
 * @param stretch how many times its longest chain of work a job may take beside the fixed part
 * @param priority 0 comes first
 * @param maxAttempts runs of a task that may end as failed before its job fails
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
