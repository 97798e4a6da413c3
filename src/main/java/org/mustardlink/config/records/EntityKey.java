package org.mustardlink.config.records;

import java.util.Comparator;

/**
 * Key of an entity.
 *
 * @param kind kind of the entity as written in records; may be unknown to this version
 * @param name name of the entity, unique within its kind
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
