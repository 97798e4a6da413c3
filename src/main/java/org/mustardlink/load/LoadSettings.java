package org.mustardlink.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Everything that defines a run but the policy.
 *
 * @param seed seed of every random stream
 * @param load offered work as a share of the capacity, positive
 * @param arrivals pattern of arrivals
 * @param sizes mix of job sizes
 * @param seconds length of the measured stretch
 * @param warmupSeconds arrivals before it that are sent but not recorded
 * @param deadline deadline of each job
 * @param domains number of failure domains
 * @param entriesPerDomain entry hosts in each
 * @param capacity targets of each domain
 * @param speedsDeclared whether configuration declares the true speeds
 * @param networkMs network delay of a request and its answer, added to the response and to the ideal
 * @param waveJobs jobs of each wave of cancellations
 * @param faults what goes wrong
 * @param entries caller addresses of running entry hosts, domain by domain; empty to start a deployment
 */
public record LoadSettings(
        long seed,
        double load,
        ArrivalPattern arrivals,
        JobSizeMix sizes,
        int seconds,
        int warmupSeconds,
        Duration deadline,
        int domains,
        int entriesPerDomain,
        DomainCapacity capacity,
        boolean speedsDeclared,
        double networkMs,
        int waveJobs,
        ImmutableList<Fault> faults,
        ImmutableList<InetSocketAddress> entries) {
    public LoadSettings {
        checkArgument(load > 0, "load must be positive: %s", load);
        checkArgument(seconds > 0, "seconds must be positive: %s", seconds);
        checkArgument(warmupSeconds >= 0, "warmupSeconds must not be negative: %s", warmupSeconds);
        checkArgument(domains > 0, "domains must be positive: %s", domains);
        checkArgument(entriesPerDomain > 0, "entriesPerDomain must be positive: %s", entriesPerDomain);
    }

    int totalSeconds() {
        return warmupSeconds + seconds;
    }

    /** Returns the factor on the load at a time from the start of the run, in seconds. */
    double overloadAt(double second) {
        return faults.stream()
                .filter(fault -> fault.kind() == Fault.Kind.OVERLOAD && fault.isActiveAt(second - warmupSeconds))
                .mapToDouble(Fault::argument)
                .max()
                .orElse(1);
    }

    double maxOverload() {
        return faults.stream()
                .filter(fault -> fault.kind() == Fault.Kind.OVERLOAD)
                .mapToDouble(Fault::argument)
                .reduce(1, Math::max);
    }
}
