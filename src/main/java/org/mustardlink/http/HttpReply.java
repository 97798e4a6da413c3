package org.mustardlink.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Locale;
import java.util.Optional;

/**
 * A whole HTTP answer.
 *
 * @param status the status code
 * @param headers the headers by lower-case name
 * @param body the body as text
 */
public record HttpReply(int status, ImmutableMap<String, String> headers, String body) {
    public HttpReply {
        checkNotNull(headers, "headers");
        checkNotNull(body, "body");
    }

    /** Returns a header, whatever the case of its name. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }
}
