package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.mustardlink.core.TargetSpec;
import org.mustardlink.http.Addresses;

/**
 * Body of a target. Separate from {@link TargetSpec} so that changes of the core do not change the record format.
 *
 * @param id id of the target, equal to the name of the entity
 * @param service name of the service that the target runs
 * @param domain failure domain of the target
 * @param address {@code ip:port}
 * @param slots maximum number of concurrent tasks, positive
 * @param connections maximum number of connections over all hosts, positive
 * @param declaredSpeed declared speed relative to a target of speed 1, positive
 */
public record TargetBody(
        String id, String service, String domain, String address, int slots, int connections, double declaredSpeed) {
    public TargetBody {
        checkNotNull(id, "id is missing");
        checkNotNull(service, "service is missing");
        checkNotNull(domain, "domain is missing");
        checkNotNull(address, "address is missing");
        Addresses.parse(address);
        checkArgument(slots > 0, "slots must be positive: %s", slots);
        checkArgument(connections > 0, "connections must be positive: %s", connections);
        checkArgument(
                declaredSpeed > 0 && Double.isFinite(declaredSpeed),
                "declaredSpeed must be positive: %s",
                declaredSpeed);
    }

    /** Converts the body to the specification that the core uses. */
    public TargetSpec toSpec() {
        return new TargetSpec(id, service, domain, address, slots, connections, declaredSpeed);
    }
}
