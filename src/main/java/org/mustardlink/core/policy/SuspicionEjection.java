package org.mustardlink.core.policy;

import java.time.Duration;
import java.util.Optional;
import org.mustardlink.core.EjectionPolicy;
import org.mustardlink.core.TargetHealth;

/**
 * Ejects a target after three more failures than half of its successes, or after one while it is on probation.
 *
 * <p>The pause doubles with each ejection, so that a target that fails everything gets about six starts in the first
 * minute. At most half of the targets of a service are ejected: when more fail, the cause is hardly the targets.
 */
public final class SuspicionEjection implements EjectionPolicy {
    private static final double SUSPICION = 3;
    private static final double MOST_EJECTED = 0.5;
    private static final int MOST_DOUBLINGS = 3;
    private static final Duration PAUSE = Duration.ofSeconds(5);

    private SuspicionEjection() {}

    /** Creates the policy. */
    public static SuspicionEjection create() {
        return new SuspicionEjection();
    }

    @Override
    public Optional<Duration> eject(TargetHealth health) {
        boolean suspect = health.probing() || health.suspicion() >= SUSPICION;
        if (!suspect || health.ejectedShare() > MOST_EJECTED) {
            return Optional.empty();
        }
        return Optional.of(PAUSE.multipliedBy(1L << Math.min(MOST_DOUBLINGS, health.ejections())));
    }
}
