package org.mustardlink.soak;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Size of a soak.
 *
 * @param seed of the schedule of faults and of the callers' choices
 * @param seconds length of the schedule
 * @param hosts dispatch hosts, each a process
 * @param domains failure domains that hosts and targets are spread over
 * @param targets targets
 * @param jobsPerSecond jobs that callers send when there is no burst
 */
public record SoakShape(long seed, int seconds, int hosts, int domains, int targets, int jobsPerSecond) {
    public SoakShape {
        checkArgument(seconds > 0, "seconds must be positive: %s", seconds);
        checkArgument(domains > 0 && domains <= hosts, "domains must be from 1 to the number of hosts: %s", domains);
        checkArgument(targets >= domains, "there must be a target in each domain: %s", targets);
        checkArgument(jobsPerSecond > 0, "jobsPerSecond must be positive: %s", jobsPerSecond);
    }

    /** Returns the failure domain of a host or target. */
    String domainOf(int number) {
        return "domain-" + number % domains;
    }
}
