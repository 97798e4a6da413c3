package org.mustardlink.config.records;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSet;

/**
 * Schema versions and features that a version of the program supports.
 *
 * @param current current schema version; the version before it may also be written, and the version after it is acted on
 *     as far as its features are supported
 * @param features supported features, by the names used in {@code requires}
 */
public record Schemas(int current, ImmutableSet<String> features) {
    /** Support of this program version. Schema version 2 added changes of several entities and {@code requires}. */
    public static final Schemas SUPPORTED = new Schemas(2, ImmutableSet.of());

    public Schemas {
        checkArgument(current > 0, "current must be positive: %s", current);
        checkNotNull(features, "features");
    }

    /** Returns whether a version of a body can be acted on. */
    public boolean supports(Entity.Version version) {
        return version.schema() <= current + 1 && features.containsAll(version.requires());
    }

    /** Returns whether operators may write changes with a schema version. */
    public boolean isWritable(int schema) {
        return schema >= current - 1 && schema <= current + 1;
    }
}
