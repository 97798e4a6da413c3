package org.mustardlink.pool;

/** Tells when entry hosts have last confirmed that the callers of their requests still wait. */
@FunctionalInterface
public interface RequestConfirmations {
    /**
     * Returns the time of the last confirmation of a request by its entry host, {@code Long.MIN_VALUE} if there was
     * none.
     *
     * @param now the current time, in nanoseconds of a monotonic clock
     */
    long lastConfirmedNanos(RequestId request, long now);
}
