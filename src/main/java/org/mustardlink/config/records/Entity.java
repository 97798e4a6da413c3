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
 * <p>Besides the newest body it keeps the newest body of each lower schema version or smaller feature set that preceded
 * it, so that a host of an older version has one to act on. This depends on the log alone, not on the host's version.
 *
 * @param key its identity
 * @param revision offset of the record that wrote it last
 * @param changeId id of that change
 * @param versions bodies, oldest schema first, at least one; the last is the newest
 */
public record Entity(EntityKey key, long revision, String changeId, ImmutableList<Version> versions) {
    /** Versions kept; a rolling change has two schema versions in use, and a third covers a hurried second one. */
    private static final int MAX_VERSIONS = 3;

    /** Characters that a snapshot spends on an entity besides its body and key, with an id of the longest kind. */
    private static final int SNAPSHOT_OVERHEAD_CHARACTERS = 300;

    public Entity {
        checkNotNull(key, "key");
        checkNotNull(changeId, "change");
        checkArgument(!versions.isEmpty(), "an entity must have a body");
    }

    /**
     * A body and what a reader needs to act on it.
     *
     * @param schema its schema version
     * @param requires features that a reader must know
     * @param body the body, with fields unknown to this version
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

    /** Returns the newest body. */
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

    /** Returns the characters that an entity takes in a snapshot appended to the log, at most. */
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
