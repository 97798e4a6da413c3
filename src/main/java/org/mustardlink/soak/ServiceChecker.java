package org.mustardlink.soak;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Counts jobs by the second in which they were first submitted, and finds the time after the last fault at which more
 * than half of the jobs were served again. Thread-safe.
 */
public final class ServiceChecker {
    /** Service must recover within {@link #MAX_RECOVERY_MS} after the last fault. */
    static final String RULE_RECOVER = "RECOVER";

    /** The platform requires that service recovers within 12 s after the last fault. */
    static final long MAX_RECOVERY_MS = 12_000;

    private static final long SECOND_MS = 1_000;

    private final TreeMap<Long, JobCounts> countsBySecond = new TreeMap<>();
    private long totalJobs;
    private long servedJobs;

    private static final class JobCounts {
        private int ended;
        private int served;
    }

    /** Records the end of a job, which was either answered or abandoned by its caller. */
    public synchronized void recordJobEnd(long firstSentMs, boolean wasServed) {
        JobCounts counts = countsBySecond.computeIfAbsent(firstSentMs / SECOND_MS, _second -> new JobCounts());
        counts.ended++;
        totalJobs++;
        if (wasServed) {
            counts.served++;
            servedJobs++;
        }
    }

    /**
     * Returns the time at which service had recovered: the end of the first whole second after the last fault of whose
     * jobs more than half were served.
     *
     * @param faultsEndMs end of the last fault
     */
    public synchronized OptionalLong recoveredAtMs(long faultsEndMs) {
        return countsBySecond.tailMap(faultsEndMs / SECOND_MS + 1).entrySet().stream()
                .filter(second -> 2 * second.getValue().served > second.getValue().ended)
                .mapToLong(second -> (second.getKey() + 1) * SECOND_MS)
                .findFirst();
    }

    /** Returns a violation if service did not recover in time. The jobs submitted until then must have ended. */
    public synchronized Optional<Violation> check(long faultsEndMs) {
        OptionalLong recoveredAtMs = recoveredAtMs(faultsEndMs);
        if (recoveredAtMs.isPresent() && recoveredAtMs.getAsLong() <= faultsEndMs + MAX_RECOVERY_MS + SECOND_MS) {
            return Optional.empty();
        }
        String detail = "last fault ended at %d ms, time in ms at which most jobs were served again: %s"
                .formatted(faultsEndMs, recoveredAtMs.isPresent() ? Long.toString(recoveredAtMs.getAsLong()) : "none");
        return Optional.of(new Violation(faultsEndMs + MAX_RECOVERY_MS, RULE_RECOVER, "", detail));
    }

    /** Returns the number of served jobs and of all jobs in words. */
    public synchronized String summary() {
        return servedJobs + " of " + totalJobs + " jobs served";
    }
}
