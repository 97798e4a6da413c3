package org.mustardlink.core;

import java.time.Duration;
import java.util.Optional;

/** Decides when a target that fails gets no tasks for a while. */
@FunctionalInterface
public interface EjectionPolicy {
    /**
     * Decides about one target after a failure.
     *
     * @param health what was seen of the target
     * @return how long the target gets no tasks, or empty to keep it
     */
    Optional<Duration> ejectionPause(TargetHealth health);

    /** Returns a policy that never ejects a target. */
    static EjectionPolicy never() {
        return _health -> Optional.empty();
    }
}
