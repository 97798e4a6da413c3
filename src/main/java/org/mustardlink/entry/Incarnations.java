package org.mustardlink.entry;

import java.security.SecureRandom;
import java.time.Clock;

/**
 * Generates the incarnation of a process: wall-clock milliseconds followed by random bits.
 *
 * <p>Two processes must never have the same host id and incarnation, because the second process would treat sessions of
 * the first as its own and could start their tasks again. The clock alone cannot prevent this, because it may be
 * stepped back between two starts. The random bits reduce the probability of a collision to 1 in 2^20 for two starts in
 * the same millisecond. Later incarnations are greater as long as the clock is not stepped back.
 */
public final class Incarnations {
    private static final int RANDOM_BITS = 20;
    private static final SecureRandom RANDOM = new SecureRandom();

    private Incarnations() {}

    /** Returns a new, positive incarnation for a process that starts now. */
    public static long next(Clock clock) {
        return (clock.millis() << RANDOM_BITS) | RANDOM.nextInt(1 << RANDOM_BITS);
    }
}
