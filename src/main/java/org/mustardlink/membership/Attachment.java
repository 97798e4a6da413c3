package org.mustardlink.membership;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * What another module sends along with the exchanges, so that it needs no periodic message of its own.
 *
 * <p>Called on several threads; implementations are thread-safe and must not block.
 */
public interface Attachment {
    /** Returns the value for the next message, or empty to send none. Its size counts against the bound of a message. */
    Optional<ByteBuffer> outgoingValue();

    /**
     * Takes the value of a peer.
     *
     * @param host id of the peer
     * @param incarnation its incarnation
     * @param value what it sent, read-only
     */
    void valueReceived(String host, long incarnation, ByteBuffer value);

    /** Returns a module that only sends; what peers send is kept for {@link Membership#attachmentOf}. */
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
