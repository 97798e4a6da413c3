package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A fencing token, ordered by round and then by sequence number, and unique to the host that created it.
 *
 * <p>The token fits into 53 bits, so that JSON readers which parse numbers as doubles don't lose digits.
 *
 * @param round number of the claim of a pool under which the token is used
 * @param sequence number within the round, raised whenever a target must be fenced again
 * @param holder low bits of the incarnation of the claiming host
 */
public record FencingToken(int round, int sequence, int holder) {
    /** Bits of the holder; the probability that any two of 100 incarnations have the same holder is below 0.1%. */
    static final int HOLDER_BITS = 24;

    private static final int SEQUENCE_BITS = 8;
    /** Largest sequence number of a round. */
    static final int MAX_SEQUENCE = (1 << SEQUENCE_BITS) - 1;

    private static final int MAX_ROUND = 1 << 20;

    public FencingToken {
        checkArgument(round >= 0 && round < MAX_ROUND, "round out of range: %s", round);
        checkArgument(sequence >= 0 && sequence <= MAX_SEQUENCE, "sequence out of range: %s", sequence);
        checkArgument(holder >= 0 && holder < 1 << HOLDER_BITS, "holder out of range: %s", holder);
    }

    /** Returns the first token of a round. */
    public static FencingToken firstOfRound(int round, long incarnation) {
        return new FencingToken(round, 0, (int) (incarnation & ((1 << HOLDER_BITS) - 1)));
    }

    /** Returns whether this is the highest token of its round; a higher one requires a new claim of the pool. */
    public boolean isLast() {
        return sequence == MAX_SEQUENCE;
    }

    /** Returns the next token of the round, or this one if it is the highest. */
    public FencingToken next() {
        return isLast() ? this : new FencingToken(round, sequence + 1, holder);
    }

    /** Returns the token as the number that targets compare. */
    public long value() {
        return (((((long) round) << SEQUENCE_BITS) + sequence) << HOLDER_BITS) + holder;
    }
}
