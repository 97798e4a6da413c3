package org.mustardlink.core;

/** Token bucket that gains tokens with each task start, so that its consumers stay at a fixed ratio to the starts. */
final class TokenBucket {
    private final double tokensPerStart;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a bucket that is half full.
     *
     * @param tokensPerStart tokens gained with each start
     * @param maxTokens capacity of the bucket
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

    /** Takes a token and returns true, or returns false if there is none. */
    boolean tryTake() {
        if (!hasToken()) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
