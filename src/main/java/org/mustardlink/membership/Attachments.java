package org.mustardlink.membership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** The registered attachments of this host and the last values that each peer attached. Thread-safe. */
final class Attachments {
    /**
     * Limit on keys and values in one message. At four messages per second, this is at most 4 KiB/s in each direction.
     */
    static final int MAX_BYTES = 1 << 10;

    private final Map<String, Attachment> modules = new ConcurrentHashMap<>();
    private final Map<String, ImmutableMap<String, ByteBuffer>> latest = new ConcurrentHashMap<>();
    private final AtomicLong droppedCount = new AtomicLong();

    void register(String key, Attachment module) {
        checkArgument(modules.putIfAbsent(key, module) == null, "attachment key is already registered: %s", key);
    }

    /** Returns the values to attach to a message. Values that exceed the size limit are dropped and counted. */
    ImmutableMap<String, ByteBuffer> collectOutgoing() {
        ImmutableMap.Builder<String, ByteBuffer> collected = ImmutableMap.builder();
        int bytes = 0;
        for (Map.Entry<String, Attachment> module : modules.entrySet()) {
            Optional<ByteBuffer> value = module.getValue().outgoingValue();
            int size =
                    module.getKey().length() + value.map(ByteBuffer::remaining).orElse(0);
            if (value.isEmpty()) {
                continue;
            }
            if (bytes + size > MAX_BYTES) {
                droppedCount.incrementAndGet();
                continue;
            }
            bytes += size;
            collected.put(module.getKey(), value.get().asReadOnlyBuffer());
        }
        return collected.buildOrThrow();
    }

    /** Stores a peer's values and passes each to the module that is registered for its key. */
    void dispatchReceived(Member sender, ImmutableMap<String, ByteBuffer> values) {
        latest.put(sender.id(), values);
        values.forEach((key, value) -> Optional.ofNullable(modules.get(key))
                .ifPresent(module -> module.valueReceived(sender.id(), sender.incarnation(), value.duplicate())));
    }

    /** Returns the value that a peer sent last under a key. */
    Optional<ByteBuffer> latestValue(String host, String key) {
        return Optional.ofNullable(latest.getOrDefault(host, ImmutableMap.of()).get(key))
                .map(ByteBuffer::duplicate);
    }

    Optional<ByteBuffer> ownValue(String key) {
        return Optional.ofNullable(modules.get(key)).flatMap(Attachment::outgoingValue);
    }

    /** Drops the values of hosts that are not in the view. */
    void retainKnownHosts(MembershipView view) {
        latest.keySet().retainAll(view.hosts().keySet());
    }

    long droppedCount() {
        return droppedCount.get();
    }
}
