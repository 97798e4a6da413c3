package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.CharMatcher;

/** Bounds of kinds, names and change ids. */
final class Names {
    private static final int MAX_NAME_LENGTH = 100;

    // Other characters would take several in a snapshot, whose size is bounded by the length of names.
    private static final CharMatcher ALLOWED = CharMatcher.inRange('!', '~').and(CharMatcher.noneOf("\"\\/"));

    private Names() {}

    static boolean isValid(String text) {
        return !text.isEmpty() && text.length() <= MAX_NAME_LENGTH && ALLOWED.matchesAllOf(text);
    }

    static void check(String fieldName, String text) {
        checkArgument(
                isValid(text),
                "%s must have 1 to %s printable characters of ASCII, no quote or slash",
                fieldName,
                MAX_NAME_LENGTH);
    }
}
