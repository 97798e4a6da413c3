package org.mustardlink.core;

/** Allowance that grows with each start, so that what draws on it stays a fixed share of the starts. */
final class MessageBudget {
    private final double perStart;
    private final double limit;
    private double allowance;

    /**
     * Creates a budget with half of its limit.
     *
     * @param perStart allowance gained by each start
     * @param limit largest allowance kept
     */
    MessageBudget(double perStart, double limit) {
        this.perStart = perStart;
        this.limit = limit;
        this.allowance = limit / 2;
    }

    void started() {
        allowance = Math.min(limit, allowance + perStart);
    }

    boolean available() {
        return allowance >= 1;
    }

    /** Takes one unit, if there is one. */
    boolean take() {
        if (!available()) {
            return false;
        }
        allowance -= 1;
        return true;
    }
}
