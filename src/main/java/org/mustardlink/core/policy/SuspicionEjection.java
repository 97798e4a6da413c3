package org.mustardlink.core.policy;

import java.time.Duration;
import java.util.Optional;
import org.mustardlink.core.EjectionPolicy;
import org.mustardlink.core.TargetHealth;

/**
 * Ejects a target when its suspicion level reaches 3, or after a single failure while it is probing.
 *
 * <p>The suspicion level is the number of failures minus half the number of successes, and never negative. The pause
 * doubles with each ejection, so a target that fails all tasks gets about six starts in the first minute. At most half
 * of the targets of a service are ejected: if more of them fail, the cause is unlikely to be the targets.
 */
public final class SuspicionEjection implements EjectionPolicy {
    private static final double EJECTION_SUSPICION = 3;
    private static final double MAX_EJECTED_SHARE = 0.5;
    private static final int MAX_PAUSE_DOUBLINGS = 3;
    private static final Duration BASE_PAUSE = Duration.ofSeconds(5);

    private SuspicionEjection() {}

    /** Creates the policy. */
    public static SuspicionEjection create() {
        return new SuspicionEjection();
    }

    @Override
    public Optional<Duration> ejectionPause(TargetHealth health) {
        boolean suspect = health.probing() || health.suspicion() >= EJECTION_SUSPICION;
        if (!suspect || health.ejectedShare() > MAX_EJECTED_SHARE) {
            return Optional.empty();
        }
        return Optional.of(BASE_PAUSE.multipliedBy(1L << Math.min(MAX_PAUSE_DOUBLINGS, health.ejections())));
    }
}
