package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A target as declared in the configuration.
 *
 * @param id unique id of the target
 * @param service service that the target runs tasks of
 * @param domain failure domain of the target
 * @param address network address of the target as {@code ip:port}
 * @param slots number of tasks that the target runs at once, positive
 * @param connections total number of connections that the target accepts, positive
 * @param declaredSpeed declared speed relative to 1, positive
 */
public record TargetSpec(
        String id, String service, String domain, String address, int slots, int connections, double declaredSpeed) {
    public TargetSpec {
        checkArgument(!id.isEmpty(), "id must not be empty");
        checkNotNull(service, "service");
        checkNotNull(domain, "domain");
        checkNotNull(address, "address");
        checkArgument(slots > 0, "slots must be positive: %s", slots);
        checkArgument(connections > 0, "connections must be positive: %s", connections);
        checkArgument(declaredSpeed > 0, "declaredSpeed must be positive: %s", declaredSpeed);
    }
}
