package org.mustardlink.config.records;

import java.util.Comparator;

/**
 * Identity of an entity.
 *
 * @param kind its kind as written in records; may be one that this version does not know
 * @param name its name, unique within the kind
 */
public record EntityKey(String kind, String name) implements Comparable<EntityKey> {
    private static final Comparator<EntityKey> ORDER =
            Comparator.comparing(EntityKey::kind).thenComparing(EntityKey::name);

    public EntityKey {
        Names.check("kind", kind);
        Names.check("name", name);
    }

    /** Returns the key of an entity of a known kind. */
    public static EntityKey of(Kind kind, String name) {
        return new EntityKey(kind.wireName(), name);
    }

    @Override
    public int compareTo(EntityKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind + '/' + name;
    }
}
