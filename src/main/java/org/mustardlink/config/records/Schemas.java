package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;

/**
 * What a version of the program understands.
 *
 * @param current its schema version; it also writes the one before and acts on what it can of the one after
 * @param features features that it knows, as named in {@code requires}
 */
public record Schemas(int current, ImmutableSet<String> features) {
    /** What this program understands. Version 2 added changes of several entities and {@code requires}. */
    public static final Schemas SUPPORTED = new Schemas(2, ImmutableSet.of());

    public Schemas {
        checkArgument(current > 0, "current must be positive: %s", current);
        checkNotNull(features, "features");
    }

    /** Returns whether bodies of the version with these requirements can be acted on. */
    public boolean supports(Entity.Version version) {
        return version.schema() <= current + 1 && features.containsAll(version.requires());
    }

    /** Returns whether operators may still write the version. */
    public boolean isWritable(int schema) {
        return schema >= current - 1 && schema <= current + 1;
    }
}
