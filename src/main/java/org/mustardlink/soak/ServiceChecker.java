package org.mustardlink.soak;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Counts jobs by the second in which they were first sent, and tells when most were served again after the last fault.
 * Thread-safe.
 */
public final class ServiceChecker {
    static final String RULE_RECOVER = "RECOVER";

    /** The platform's pages ask for service within 12 s after the last fault. */
    static final long MAX_RECOVERY_MS = 12_000;

    private static final long SECOND_MS = 1_000;

    private final TreeMap<Long, JobCounts> countsBySecond = new TreeMap<>();
    private long totalJobs;
    private long servedJobs;

    private static final class JobCounts {
        private int ended;
        private int served;
    }

    /** Notes the end of a job: answered, or given up by its caller. */
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
     * Returns when most jobs were served after a time: the end of the first whole second of which more than half were.
     *
     * @param faultsEndMs end of the last fault
     */
    public synchronized OptionalLong recoveredAtMs(long faultsEndMs) {
        return countsBySecond.tailMap(faultsEndMs / SECOND_MS + 1).entrySet().stream()
                .filter(second -> 2 * second.getValue().served > second.getValue().ended)
                .mapToLong(second -> (second.getKey() + 1) * SECOND_MS)
                .findFirst();
    }

    /** Returns the violation if service wasn't back in time; the jobs of that time must have ended. */
    public synchronized Optional<Violation> check(long faultsEndMs) {
        OptionalLong recoveredAtMs = recoveredAtMs(faultsEndMs);
        if (recoveredAtMs.isPresent() && recoveredAtMs.getAsLong() <= faultsEndMs + MAX_RECOVERY_MS + SECOND_MS) {
            return Optional.empty();
        }
        String detail = "faults ended at %d ms, most jobs served again at %s ms"
                .formatted(
                        faultsEndMs, recoveredAtMs.isPresent() ? Long.toString(recoveredAtMs.getAsLong()) : "no time");
        return Optional.of(new Violation(faultsEndMs + MAX_RECOVERY_MS, RULE_RECOVER, "", detail));
    }

    /** Returns a summary for people. */
    public synchronized String summary() {
        return servedJobs + " of " + totalJobs + " jobs served";
    }
}
