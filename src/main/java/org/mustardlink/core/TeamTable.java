package org.mustardlink.core;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import com.google.common.collect.Multiset;

/** Quotas and running tasks of the teams. */
final class TeamTable {
    private final Multiset<String> running = HashMultiset.create();
    private ImmutableMap<String, TeamSpec> specs = ImmutableMap.of();

    void declare(ImmutableList<TeamSpec> declared) {
        specs = Maps.uniqueIndex(declared, TeamSpec::team);
    }

    TeamSpec quotaOf(String team) {
        TeamSpec spec = specs.get(team);
        return spec == null ? TeamSpec.unlimited(team) : spec;
    }

    boolean mayStartTask(String team) {
        return specs.isEmpty() || running.count(team) < quotaOf(team).maxRunning();
    }

    int runningTasks(String team) {
        return running.count(team);
    }

    void taskStarted(String team) {
        running.add(team);
    }

    void taskEnded(String team) {
        running.remove(team);
    }
}
