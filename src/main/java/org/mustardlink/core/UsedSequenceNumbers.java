package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.primitives.ImmutableLongArray;
import com.google.common.primitives.Longs;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Set of the sequence numbers that a session has used. Numbers are never removed.
 *
 * <p>Implemented as a bitmap in chunks of 512 numbers: contiguous numbers take about one bit each, and a single large
 * number does not allocate the bitmap below it.
 */
final class UsedSequenceNumbers {
    private static final int CHUNK_BITS = 9;
    private static final int WORDS = 1 << (CHUNK_BITS - 6);

    private final Map<Integer, long[]> chunks = new HashMap<>();

    /**
     * Marks a sequence number as used.
     *
     * @return whether the number was unused before
     */
    boolean add(long sequence) {
        checkArgument(
                sequence >= 0 && sequence <= SubmissionId.MAX_SEQUENCE, "sequence number out of range: %s", sequence);
        long[] words = chunks.computeIfAbsent((int) (sequence >> CHUNK_BITS), _unused -> new long[WORDS]);
        int word = wordOf(sequence);
        long bit = 1L << (sequence & 63);
        boolean added = (words[word] & bit) == 0;
        words[word] |= bit;
        return added;
    }

    /** Returns whether a sequence number has been used. */
    boolean contains(long sequence) {
        long[] words = chunks.get((int) (sequence >> CHUNK_BITS));
        return words != null && (words[wordOf(sequence)] & (1L << (sequence & 63))) != 0;
    }

    /** Returns the serialized set for {@link #of}: for each chunk its index and the words of its bitmap. */
    ImmutableLongArray words() {
        ImmutableLongArray.Builder builder = ImmutableLongArray.builder(chunks.size() * (WORDS + 1));
        chunks.forEach((index, words) -> builder.add(index).addAll(Longs.asList(words)));
        return builder.build();
    }

    /**
     * Returns the set that was serialized by {@link #words()}.
     *
     * @throws IllegalArgumentException if the words are malformed
     */
    static UsedSequenceNumbers of(ImmutableLongArray words) {
        checkArgument(
                words.length() % (WORDS + 1) == 0,
                "bitmap of used sequence numbers is truncated: got %s words",
                words.length());
        UsedSequenceNumbers used = new UsedSequenceNumbers();
        for (int i = 0; i < words.length(); i += WORDS + 1) {
            long index = words.get(i);
            checkArgument(
                    index >= 0 && index <= SubmissionId.MAX_SEQUENCE >> CHUNK_BITS,
                    "chunk index out of range: %s",
                    index);
            used.chunks.put((int) index, words.subArray(i + 1, i + 1 + WORDS).toArray());
        }
        return used;
    }

    /** Returns the number of used sequence numbers. */
    long count() {
        return chunks.values().stream()
                .flatMapToLong(Arrays::stream)
                .map(Long::bitCount)
                .sum();
    }

    private static int wordOf(long sequence) {
        return (int) (sequence >> 6) & (WORDS - 1);
    }
}
