package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Declared targets by id, in order of declaration. */
final class TargetTable {
    private final Map<String, TargetRow> rows = new LinkedHashMap<>();
    private ImmutableSet<String> draining = ImmutableSet.of();

    void declare(ImmutableList<TargetSpec> declared) {
        ImmutableSet<String> ids = declared.stream().map(TargetSpec::id).collect(ImmutableSet.toImmutableSet());
        rows.keySet().retainAll(ids);
        for (TargetSpec spec : declared) {
            TargetRow row = rows.computeIfAbsent(spec.id(), _unused -> new TargetRow(spec));
            row.declare(spec);
            row.drain(draining.contains(spec.id()));
        }
    }

    void drain(ImmutableSet<String> ids) {
        draining = ids;
        rows.forEach((id, row) -> row.drain(ids.contains(id)));
    }

    Optional<TargetRow> find(String id) {
        return Optional.ofNullable(rows.get(id));
    }

    Collection<TargetRow> all() {
        return rows.values();
    }

    /** Returns the targets of a service that may take a task now. */
    List<TargetRow> accepting(String service, long now) {
        return rows.values().stream()
                .filter(row -> row.spec().service().equals(service) && row.accepts(now))
                .toList();
    }

    boolean serves(String service) {
        return rows.values().stream().anyMatch(row -> row.spec().service().equals(service));
    }
}
