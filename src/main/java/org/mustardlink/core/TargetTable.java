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

    /** Allows or forbids slots beyond the own part of each target of a service. */
    void borrow(String service, boolean allowed, long now) {
        for (TargetRow row : of(service)) {
            row.borrow(allowed, now);
        }
    }

    /** Opens the targets of other domains while the own domain has no target that takes new work. */
    private void allowSpill(String service) {
        boolean noneAlive = true;
        for (TargetRow row : of(service)) {
            noneAlive &= !(row.isOwn() && row.isAlive());
        }
        for (TargetRow row : of(service)) {
            row.spill(noneAlive);
        }
    }

    /** Returns the work per millisecond that this host's slots at the targets of a service do, at speed 1. */
    double capacity(String service) {
        allowSpill(service);
        double capacity = 0;
        for (TargetRow row : of(service)) {
            capacity += row.isAlive() ? row.share() * row.speed() : 0;
        }
        return capacity;
    }

    /** Returns the highest speed among the targets of a service that take new work; 1 if there is none. */
    double fastestSpeed(String service) {
        double fastest = 0;
        for (TargetRow row : of(service)) {
            fastest = Math.max(fastest, row.isAlive() && row.share() > 0 ? row.speed() : 0);
        }
        return fastest > 0 ? fastest : 1;
    }

    /** Returns whether any target of a service takes new work. */
    boolean takesWork(String service) {
        return of(service).stream().anyMatch(TargetRow::isAlive);
    }

    boolean serves(String service) {
        return byService.containsKey(service);
    }
}
