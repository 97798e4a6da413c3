package org.mustardlink.soak;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Size and seed of a soak.
 *
 * @param seed seed of the fault schedule and of the callers' random choices
 * @param seconds duration of the fault schedule
 * @param hosts number of dispatch hosts, each of which is a process
 * @param domains number of failure domains, among which hosts and targets are distributed
 * @param targets number of targets
 * @param jobsPerSecond jobs that callers submit each second outside of bursts
 */
public record SoakShape(long seed, int seconds, int hosts, int domains, int targets, int jobsPerSecond) {
    public SoakShape {
        checkArgument(seconds > 0, "seconds must be positive: %s", seconds);
        checkArgument(domains > 0 && domains <= hosts, "domains must be from 1 to the number of hosts: %s", domains);
        checkArgument(targets >= domains, "targets must be at least the number of domains: %s", targets);
        checkArgument(jobsPerSecond > 0, "jobsPerSecond must be positive: %s", jobsPerSecond);
    }

    /** Returns the failure domain of the host or target with an index. */
    String domainOf(int number) {
        return "domain-" + number % domains;
    }
}
