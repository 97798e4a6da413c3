package org.mustardlink.core;

/** Allowance that grows with each start, so that what draws on it stays a fixed share of the starts. */
final class TokenBucket {
    private final double tokensPerStart;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a budget with half of its limit.
     *
     * @param tokensPerStart allowance gained by each start
     * @param maxTokens largest allowance kept
     */
    TokenBucket(double tokensPerStart, double maxTokens) {
        this.tokensPerStart = tokensPerStart;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens / 2;
    }

    void recordStart() {
        tokens = Math.min(maxTokens, tokens + tokensPerStart);
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    /** Takes one unit, if there is one. */
    boolean tryTake() {
        if (!hasToken()) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
