package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;

/**
 * An entity of the configuration.
 *
 * <p>In addition to the newest body, an entity keeps the newest preceding body of each lower schema version or smaller
 * feature set, so that hosts of older versions have a body to act on. Which bodies are kept depends only on the log, not
 * on the version of the host.
 *
 * @param key key of the entity
 * @param revision offset of the last record that wrote the entity
 * @param changeId id of the change in that record
 * @param versions versions of the body, from the oldest to the newest schema; at least one
 */
public record Entity(EntityKey key, long revision, String changeId, ImmutableList<Version> versions) {
    /** Versions kept: two are in use during a rolling upgrade, and a third if another upgrade starts before it ends. */
    private static final int MAX_VERSIONS = 3;

    /** Maximum characters of an entity in a snapshot apart from its body and key, with a change id of maximum length. */
    private static final int SNAPSHOT_OVERHEAD_CHARACTERS = 300;

    public Entity {
        checkNotNull(key, "key");
        checkNotNull(changeId, "change");
        checkArgument(!versions.isEmpty(), "an entity must have at least one body");
    }

    /**
     * A version of the body and the requirements for acting on it.
     *
     * @param schema schema version of the body
     * @param requires features that a reader must support
     * @param body the body, including fields that this program version does not know
     */
    public record Version(int schema, ImmutableSet<String> requires, ObjectNode body) {
        public Version {
            checkNotNull(requires, "requires");
            checkNotNull(body, "body");
        }

        private boolean isOlderThan(Version other) {
            return schema < other.schema
                    || (schema == other.schema
                            && !requires.equals(other.requires)
                            && other.requires.containsAll(requires));
        }
    }

    /** Returns the newest version of the body. */
    public Version newest() {
        return Iterables.getLast(versions);
    }

    static ImmutableList<Version> appendVersion(ImmutableList<Version> earlier, Version next) {
        ImmutableList<Version> kept = ImmutableList.<Version>builder()
                .addAll(Iterables.filter(earlier, version -> version.isOlderThan(next)))
                .add(next)
                .build();
        return kept.subList(Math.max(0, kept.size() - MAX_VERSIONS), kept.size());
    }

    /** Returns the maximum number of characters that an entity takes in a snapshot appended to the log. */
    static long snapshotCharacters(EntityKey key, ImmutableList<Version> versions) {
        long total = 0;
        for (Version version : versions) {
            total += RecordJson.escapedLength(version.body())
                    + SNAPSHOT_OVERHEAD_CHARACTERS
                    + key.kind().length()
                    + key.name().length();
        }
        return total;
    }
}
