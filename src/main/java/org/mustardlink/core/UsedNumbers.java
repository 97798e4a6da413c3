package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Set of sequence numbers that a session has used; numbers are never removed.
 *
 * <p>A bitmap in chunks of 512 numbers, so dense use costs about one bit a number and a single large number does not
 * allocate everything below it.
 */
final class UsedNumbers {
    private static final int CHUNK_BITS = 9;
    private static final int WORDS = 1 << (CHUNK_BITS - 6);

    private final Map<Integer, long[]> chunks = new HashMap<>();

    /**
     * Marks a number as used.
     *
     * @return whether the number was unused before
     */
    boolean add(long number) {
        checkArgument(number >= 0 && number <= SubmissionId.MAX_SEQUENCE, "number out of range: %s", number);
        long[] words = chunks.computeIfAbsent((int) (number >> CHUNK_BITS), _unused -> new long[WORDS]);
        int word = wordOf(number);
        long bit = 1L << (number & 63);
        boolean added = (words[word] & bit) == 0;
        words[word] |= bit;
        return added;
    }

    /** Returns whether the number was used. */
    boolean contains(long number) {
        long[] words = chunks.get((int) (number >> CHUNK_BITS));
        return words != null && (words[wordOf(number)] & (1L << (number & 63))) != 0;
    }

    /** Returns how many numbers were used. */
    long count() {
        return chunks.values().stream()
                .flatMapToLong(Arrays::stream)
                .map(Long::bitCount)
                .sum();
    }

    private static int wordOf(long number) {
        return (int) (number >> 6) & (WORDS - 1);
    }
}
