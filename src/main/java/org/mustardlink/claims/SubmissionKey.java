package org.mustardlink.claims;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A key that a caller generates for a job. The text form is {@code <epoch ms>-<random>}.
 *
 * @param createdMs when the caller generated the key, in milliseconds since the epoch
 * @param random 8 to 48 letters, digits, underscores or hyphens
 */
public record SubmissionKey(long createdMs, String random) {
    private static final Pattern KEY_PATTERN = Pattern.compile("([0-9]{1,15})-([A-Za-z0-9_-]{8,48})");
    private static final Pattern RANDOM_PATTERN = Pattern.compile("[A-Za-z0-9_-]{8,48}");

    public SubmissionKey {
        checkArgument(createdMs >= 0, "createdMs must not be negative: %s", createdMs);
        checkArgument(
                RANDOM_PATTERN.matcher(random).matches(),
                "the random part of a submission key must have 8 to 48 characters of [A-Za-z0-9_-]");
    }

    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static SubmissionKey parse(String text) {
        Matcher matcher = KEY_PATTERN.matcher(text);
        checkArgument(matcher.matches(), "a submission key must have the form <epoch ms>-<8 to 48 random characters>");
        return new SubmissionKey(Long.parseLong(matcher.group(1)), matcher.group(2));
    }

    /** Returns the text form. */
    @Override
    public String toString() {
        return createdMs + "-" + random;
    }
}
