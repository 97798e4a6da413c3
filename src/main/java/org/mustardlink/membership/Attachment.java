package org.mustardlink.membership;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * A value of another module that is sent with every exchange, so that the module needs no periodic message of its own.
 *
 * <p>Called on several threads; implementations are thread-safe and must not block.
 */
public interface Attachment {
    /**
     * Returns the value to attach to the next message, or empty to attach none. The size of the value counts against
     * the limit on attachments in one message.
     */
    Optional<ByteBuffer> outgoingValue();

    /**
     * Handles the value that a peer attached to its message.
     *
     * @param host id of the peer
     * @param incarnation incarnation of the peer
     * @param value the attached value, read-only
     */
    void valueReceived(String host, long incarnation, ByteBuffer value);

    /**
     * Returns an attachment that ignores received values. The last value of each peer is still available from
     * {@link Membership#attachmentOf}.
     */
    static Attachment sendOnly(Supplier<Optional<ByteBuffer>> value) {
        return new Attachment() {
            @Override
            public Optional<ByteBuffer> outgoingValue() {
                return value.get();
            }

            @Override
            public void valueReceived(String _host, long _incarnation, ByteBuffer _value) {}
        };
    }
}
