package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.CharMatcher;

/** Validates kinds, names and change ids. */
final class Names {
    private static final int MAX_NAME_LENGTH = 100;

    // Escaped characters would take several characters in a snapshot, whose size limit assumes the length of the names.
    private static final CharMatcher ALLOWED = CharMatcher.inRange('!', '~').and(CharMatcher.noneOf("\"\\/"));

    private Names() {}

    static boolean isValid(String text) {
        return !text.isEmpty() && text.length() <= MAX_NAME_LENGTH && ALLOWED.matchesAllOf(text);
    }

    static void check(String fieldName, String text) {
        checkArgument(
                isValid(text),
                "%s must have 1 to %s printable ASCII characters other than space, double quote, slash and backslash",
                fieldName,
                MAX_NAME_LENGTH);
    }
}
