package org.mustardlink.core;

import java.time.Duration;
import java.util.Optional;

/** Decides whether a failing target is ejected, that is, gets no tasks for some time. */
@FunctionalInterface
public interface EjectionPolicy {
    /**
     * Decides whether to eject a target after a failure or stall.
     *
     * @param health recent failures and ejections of the target
     * @return the duration of the ejection, or empty to keep the target in use
     */
    Optional<Duration> ejectionPause(TargetHealth health);

    /** Returns a policy that never ejects a target. */
    static EjectionPolicy never() {
        return _health -> Optional.empty();
    }
}
