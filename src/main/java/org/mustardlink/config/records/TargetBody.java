package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.mustardlink.core.TargetSpec;
import org.mustardlink.http.Addresses;

/**
 * Body of a target. Separate from {@link TargetSpec} because the format of records outlives changes of the core.
 *
 * @param id id of the target, equal to the name of the entity
 * @param service the service it serves
 * @param domain its failure domain
 * @param address {@code ip:port}
 * @param slots tasks it runs at once, positive
 * @param connections connections it accepts in total, positive
 * @param declaredSpeed declared speed relative to 1, positive
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

    /** Returns the declaration for the core. */
    public TargetSpec toSpec() {
        return new TargetSpec(id, service, domain, address, slots, connections, declaredSpeed);
    }
}
