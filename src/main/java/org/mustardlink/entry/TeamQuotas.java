package org.mustardlink.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.math.IntMath;
import java.math.RoundingMode;
import java.util.function.Consumer;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.TeamBody;
import org.mustardlink.core.Event;
import org.mustardlink.core.TeamSpec;
import org.mustardlink.directory.HostListing;

/**
 * Tells the core its part of each team's quota: the quota divided by the entry hosts that the platform lists, rounded up.
 *
 * <p>Thread-safe. Rounding up lets a deployment of n hosts run at most n - 1 tasks of a team beyond its quota, and never
 * leaves a host that a small team uses without a slot.
 */
final class TeamQuotas {
    private final Consumer<Event> core;
    private ImmutableMap<String, TeamBody> teams = ImmutableMap.of();
    private int hosts = 1;
    private ImmutableList<TeamSpec> declared = ImmutableList.of();

    TeamQuotas(Consumer<Event> core) {
        this.core = core;
    }

    synchronized void configured(ConfigView view) {
        teams = view.teams();
        declare();
    }

    synchronized void listed(HostListing listing) {
        long listed = listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY)
                .count();
        hosts = (int) Math.max(1, listed);
        declare();
    }

    private void declare() {
        ImmutableList<TeamSpec> parts = teams.entrySet().stream()
                .map(team -> part(team.getKey(), team.getValue()))
                .collect(ImmutableList.toImmutableList());
        if (!parts.equals(declared)) {
            declared = parts;
            core.accept(new Event.TeamsDeclared(parts));
        }
    }

    private TeamSpec part(String team, TeamBody body) {
        int running = IntMath.divide(body.quota(), hosts, RoundingMode.CEILING);
        return new TeamSpec(team, body.weight(), running, Integer.MAX_VALUE);
    }
}
