package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * Identifier of a caller's session, made up of the owning entry host, its incarnation and a number.
 *
 * <p>Only the owning incarnation may start tasks of the session. The text form is {@code host~incarnation~number},
 * where incarnation and number are in base 36.
 *
 * @param host id of the owning entry host; letters, digits, dots, underscores and hyphens
 * @param incarnation incarnation of the owning process, positive
 * @param number number of the session within its incarnation, not negative
 */
public record SessionId(String host, long incarnation, long number) {
    /** Maximum length of a host id, in characters. */
    public static final int MAX_HOST_LENGTH = 64;

    private static final int RADIX = 36;
    private static final Splitter FIELDS = Splitter.on('~').limit(4);

    public SessionId {
        checkArgument(isHostId(checkNotNull(host, "host")), "host id is malformed: %s", host);
        checkArgument(incarnation > 0, "incarnation must be positive: %s", incarnation);
        checkArgument(number >= 0, "session number must not be negative: %s", number);
    }

    /**
     * Parses the text form.
     *
     * @param text text form of a session id
     * @throws IllegalArgumentException if the text is malformed
     */
    public static SessionId parse(String text) {
        List<String> fields = FIELDS.splitToList(text);
        checkArgument(fields.size() == 3, "session id must have three fields separated by '~': %s", text);
        return new SessionId(fields.get(0), Long.parseLong(fields.get(1), RADIX), Long.parseLong(fields.get(2), RADIX));
    }

    private static boolean isHostId(String host) {
        return !host.isEmpty()
                && host.length() <= MAX_HOST_LENGTH
                && host.chars().allMatch(c -> Character.isLetterOrDigit(c) || c == '.' || c == '_' || c == '-');
    }

    /** Returns the text form. */
    @Override
    public String toString() {
        return host + '~' + Long.toString(incarnation, RADIX) + '~' + Long.toString(number, RADIX);
    }
}
