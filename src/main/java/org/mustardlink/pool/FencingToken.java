package org.mustardlink.pool;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A fencing token: ordered by round, then by the step within the round, and unique to the host that made it.
 *
 * <p>The token fits into 53 bits, so that readers which take JSON numbers for doubles keep every digit.
 *
 * @param round the claim of a pool under which the token is used
 * @param sequence increases within a round whenever one target has to be fenced again
 * @param holder the low bits of the claiming host's incarnation
 */
public record FencingToken(int round, int sequence, int holder) {
    /** Bits of the holder: 100 incarnations share a token of one round with a probability below 0.1%. */
    static final int HOLDER_BITS = 24;

    private static final int SEQUENCE_BITS = 8;
    /** Largest step of a round. */
    static final int MAX_SEQUENCE = (1 << SEQUENCE_BITS) - 1;

    private static final int MAX_ROUND = 1 << 20;

    public FencingToken {
        checkArgument(round >= 0 && round < MAX_ROUND, "round out of range: %s", round);
        checkArgument(sequence >= 0 && sequence <= MAX_SEQUENCE, "step out of range: %s", sequence);
        checkArgument(holder >= 0 && holder < 1 << HOLDER_BITS, "holder out of range: %s", holder);
    }

    /** Returns the first token of a round. */
    public static FencingToken firstOfRound(int round, long incarnation) {
        return new FencingToken(round, 0, (int) (incarnation & ((1 << HOLDER_BITS) - 1)));
    }

    /** Returns whether the round has no higher token left; a higher one needs another claim of the pool. */
    public boolean isLast() {
        return sequence == MAX_SEQUENCE;
    }

    /** Returns the next token of the same round, or this one if the round has none left. */
    public FencingToken next() {
        return isLast() ? this : new FencingToken(round, sequence + 1, holder);
    }

    /** Returns the number that targets compare. */
    public long value() {
        return (((((long) round) << SEQUENCE_BITS) + sequence) << HOLDER_BITS) + holder;
    }
}
