package org.mustardlink.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.util.Locale;
import java.util.Optional;

/**
 * A complete HTTP reply.
 *
 * @param status status code
 * @param headers headers by their lower-case names; empty if the call asked for a reply without them
 * @param body body as text
 */
public record HttpReply(int status, ImmutableMap<String, String> headers, String body) {
    public HttpReply {
        checkNotNull(headers, "headers");
        checkNotNull(body, "body");
    }

    /** Returns the value of a header. The name is not case-sensitive. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
    }
}
