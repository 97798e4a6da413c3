package org.mustardlink.load;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a run, except for the placement policy.
 *
 * @param seed seed of all random numbers of the run
 * @param load offered work as a positive share of the capacity
 * @param arrivals pattern of arrivals over time
 * @param sizes mix of job sizes
 * @param seconds duration of the measured part of the run
 * @param warmupSeconds duration of the warm-up, whose jobs are submitted but not recorded
 * @param deadline deadline of each job
 * @param domains number of failure domains
 * @param entriesPerDomain number of entry hosts in each domain
 * @param capacity targets of each domain
 * @param speedsDeclared whether the configuration declares the actual speeds of the targets
 * @param networkMs network delay of a request and its answer, which is added to response time and ideal response time
 * @param waveJobs number of jobs in each wave of cancellations
 * @param faults faults that are injected during the run
 * @param entries caller addresses of running entry hosts, ordered by domain; empty to start a deployment in this
 *     process
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

    /**
     * Returns the factor by which overload faults multiply the load at a time from the start of the run, in seconds.
     */
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
