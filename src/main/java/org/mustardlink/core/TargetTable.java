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

/** Declared targets, by id and by service, in the order of their declaration. */
final class TargetTable {
    private final Map<String, TargetRow> rows = new LinkedHashMap<>();
    private ImmutableListMultimap<String, TargetRow> byService = ImmutableListMultimap.of();
    private ImmutableSet<String> draining = ImmutableSet.of();

    void declare(ImmutableList<TargetSpec> declared) {
        ImmutableSet<String> ids = declared.stream().map(TargetSpec::id).collect(ImmutableSet.toImmutableSet());
        rows.keySet().retainAll(ids);
        for (TargetSpec spec : declared) {
            TargetRow row = rows.computeIfAbsent(spec.id(), _unused -> new TargetRow(spec));
            row.setSpec(spec);
            row.setDraining(draining.contains(spec.id()));
        }
        byService = Multimaps.index(rows.values(), row -> row.spec().service());
    }

    void setDraining(ImmutableSet<String> ids) {
        draining = ids;
        rows.forEach((id, row) -> row.setDraining(ids.contains(id)));
    }

    Optional<TargetRow> find(String id) {
        return Optional.ofNullable(rows.get(id));
    }

    Collection<TargetRow> all() {
        return rows.values();
    }

    /** Returns all targets of a service. */
    ImmutableList<TargetRow> ofService(String service) {
        return byService.get(service);
    }

    /** Returns the targets of a service that may take a task now. */
    List<TargetRow> accepting(String service, long now) {
        updateSpillover(service);
        List<TargetRow> accepting = new ArrayList<>();
        for (TargetRow row : ofService(service)) {
            if (row.acceptsTask(now)) {
                accepting.add(row);
            }
        }
        return accepting;
    }

    /** Allows or forbids the use of slots beyond this host's share at all targets of a service. */
    void allowBorrowing(String service, boolean allowed, long now) {
        for (TargetRow row : ofService(service)) {
            row.allowBorrowing(allowed, now);
        }
    }

    /** Allows spillover to other failure domains while this host has no share of a target that takes new tasks. */
    private void updateSpillover(String service) {
        boolean noOwnTarget = true;
        for (TargetRow row : ofService(service)) {
            noOwnTarget &= !(row.hasShare() && row.takesNewTasks());
        }
        for (TargetRow row : ofService(service)) {
            row.allowSpillover(noOwnTarget);
        }
    }

    /** Returns the total speed of this host's slots at the targets of a service. */
    double capacity(String service) {
        updateSpillover(service);
        double capacity = 0;
        for (TargetRow row : ofService(service)) {
            capacity += row.takesNewTasks() ? row.usableShare() * row.speed() : 0;
        }
        return capacity;
    }

    /** Returns the highest speed of the targets of a service that this host may use; 1 if there is none. */
    double fastestSpeed(String service) {
        double fastestSpeed = 0;
        for (TargetRow row : ofService(service)) {
            fastestSpeed = Math.max(fastestSpeed, row.takesNewTasks() && row.usableShare() > 0 ? row.speed() : 0);
        }
        return fastestSpeed > 0 ? fastestSpeed : 1;
    }

    /** Returns whether any target of a service takes new tasks. */
    boolean takesNewTasks(String service) {
        return ofService(service).stream().anyMatch(TargetRow::takesNewTasks);
    }

    boolean serves(String service) {
        return byService.containsKey(service);
    }
}
