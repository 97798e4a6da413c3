package org.mustardlink.core;

/** One target as this entry host sees it. */
final class TargetRow implements TargetView {
    private TargetSpec spec;
    private int outstanding;
    private boolean draining;
    private long blockedUntilNanos = Long.MIN_VALUE;

    TargetRow(TargetSpec spec) {
        this.spec = spec;
    }

    @Override
    public TargetSpec spec() {
        return spec;
    }

    @Override
    public int outstanding() {
        return outstanding;
    }

    @Override
    public int freeSlots() {
        return Math.max(0, spec.slots() - outstanding);
    }

    boolean accepts(long now) {
        return !draining && freeSlots() > 0 && blockedUntilNanos <= now;
    }

    long blockedUntilNanos() {
        return blockedUntilNanos;
    }

    void declare(TargetSpec declared) {
        spec = declared;
    }

    void drain(boolean isDraining) {
        draining = isDraining;
    }

    void block(long untilNanos) {
        blockedUntilNanos = untilNanos;
    }

    void attemptStarted() {
        outstanding++;
    }

    void attemptEnded() {
        outstanding--;
    }
}
