package org.mustardlink.entry;

import java.security.SecureRandom;
import java.time.Clock;

/**
 * Draws the incarnation of a process: wall-clock milliseconds followed by random bits.
 *
 * <p>Two processes must never share a host id and an incarnation, because the second would take sessions of the first
 * for its own and could start their tasks again. The clock alone does not rule that out: it may be stepped back between
 * two starts. The random bits do, up to one chance in 2^20 for two starts in the same millisecond. Later incarnations
 * are greater as long as the clock is not stepped back.
 */
public final class Incarnations {
    private static final int RANDOM_BITS = 20;
    private static final SecureRandom RANDOM = new SecureRandom();

    private Incarnations() {}

    /** Draws an incarnation for a process that starts now; positive. */
    public static long next(Clock clock) {
        return (clock.millis() << RANDOM_BITS) | RANDOM.nextInt(1 << RANDOM_BITS);
    }
}
