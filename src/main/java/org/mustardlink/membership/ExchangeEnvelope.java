package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import java.nio.ByteBuffer;

/**
 * An exchange message with the attachments of other modules.
 *
 * @param message the message
 * @param attachments values of other modules by attachment key, each read-only
 */
public record ExchangeEnvelope(ExchangeMessage message, ImmutableMap<String, ByteBuffer> attachments) {
    public ExchangeEnvelope {
        checkNotNull(message, "message");
        checkNotNull(attachments, "attachments");
    }
}
