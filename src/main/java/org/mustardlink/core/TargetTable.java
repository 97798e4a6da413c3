package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multimaps;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Declared targets by id and by service, in order of declaration. */
final class TargetTable {
    private final Map<String, TargetRow> rows = new LinkedHashMap<>();
    private ImmutableListMultimap<String, TargetRow> byService = ImmutableListMultimap.of();
    private ImmutableSet<String> draining = ImmutableSet.of();

    void declare(ImmutableList<TargetSpec> declared) {
        ImmutableSet<String> ids = declared.stream().map(TargetSpec::id).collect(ImmutableSet.toImmutableSet());
        rows.keySet().retainAll(ids);
        for (TargetSpec spec : declared) {
            TargetRow row = rows.computeIfAbsent(spec.id(), _unused -> new TargetRow(spec));
            row.declare(spec);
            row.drain(draining.contains(spec.id()));
        }
        byService = Multimaps.index(rows.values(), row -> row.spec().service());
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

    /** Returns every target of a service. */
    ImmutableList<TargetRow> of(String service) {
        return byService.get(service);
    }

    /** Returns the targets of a service that may take a task now. */
    List<TargetRow> accepting(String service, long now) {
        allowSpill(service);
        List<TargetRow> accepting = new ArrayList<>();
        for (TargetRow row : of(service)) {
            if (row.accepts(now)) {
                accepting.add(row);
            }
        }
        return accepting;
    }

    /** Opens the targets of other domains while the own domain has no target that takes new work. */
    private void allowSpill(String service) {
        boolean deserted = true;
        for (TargetRow row : of(service)) {
            deserted &= !(row.isOwn() && row.isAlive());
        }
        for (TargetRow row : of(service)) {
            row.spill(deserted);
        }
    }

    /** Returns the work per millisecond that this host's slots at the targets of a service do, at speed 1. */
    double capacity(String service) {
        double capacity = 0;
        for (TargetRow row : of(service)) {
            capacity += row.share() * row.speed();
        }
        return capacity;
    }

    boolean serves(String service) {
        return byService.containsKey(service);
    }
}
