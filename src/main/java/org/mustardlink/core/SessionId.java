package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Splitter;
import java.util.List;

/**
 * Identifier of a caller's session: the entry host that owns it, that host's incarnation and a number.
 *
 * <p>Only the named incarnation may start tasks of the session. The text form is {@code host~incarnation~number} with
 * the last two in base 36.
 *
 * @param host id of the owning entry host; letters, digits, dots, underscores and hyphens
 * @param incarnation incarnation of the owning process, positive
 * @param number number of the session within its incarnation, not negative
 */
public record SessionId(String host, long incarnation, long number) {
    /** Longest host id in characters. */
    public static final int MAX_HOST_LENGTH = 64;

    private static final int RADIX = 36;
    private static final Splitter FIELDS = Splitter.on('~').limit(4);

    public SessionId {
        checkArgument(isHostId(checkNotNull(host, "host")), "host id is malformed: %s", host);
        checkArgument(incarnation > 0, "incarnation must be positive: %s", incarnation);
        checkArgument(number >= 0, "session number must not be negative: %s", number);
    }

    /**
     * Reads the text form.
     *
     * @param text the text form
     * @throws IllegalArgumentException if the text is malformed
     */
    public static SessionId parse(String text) {
        List<String> fields = FIELDS.splitToList(text);
        checkArgument(fields.size() == 3, "session id needs three fields: %s", text);
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
