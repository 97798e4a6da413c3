package org.mustardlink.core;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.collect.Multiset;

/** Quotas of teams and what they use of them. */
final class TeamTable {
    private final Multiset<String> running = HashMultiset.create();
    private ImmutableMap<String, TeamSpec> specs = ImmutableMap.of();

    void declare(ImmutableList<TeamSpec> declared) {
        specs = Maps.uniqueIndex(declared, TeamSpec::team);
    }

    TeamSpec of(String team) {
        TeamSpec spec = specs.get(team);
        return spec == null ? TeamSpec.unlimited(team) : spec;
    }

    boolean mayStart(String team) {
        return specs.isEmpty() || running.count(team) < of(team).maxRunning();
    }

    int running(String team) {
        return running.count(team);
    }

    void started(String team) {
        running.add(team);
    }

    void ended(String team) {
        running.remove(team);
    }
}
