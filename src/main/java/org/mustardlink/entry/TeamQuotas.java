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
 * Notifies the core of this host's share of each team's quota: the quota divided by the number of entry hosts on the
 * platform's host list, rounded up.
 *
 * <p>Because of the rounding, a deployment of n hosts can run up to n - 1 tasks of a team beyond its quota; in return,
 * the share of a team with a small quota is never zero. Thread-safe.
 */
final class TeamQuotas {
    private final Consumer<Event> eventSink;
    private ImmutableMap<String, TeamBody> teams = ImmutableMap.of();
    private int entryHostCount = 1;
    private ImmutableList<TeamSpec> declaredShares = ImmutableList.of();

    TeamQuotas(Consumer<Event> eventSink) {
        this.eventSink = eventSink;
    }

    synchronized void applyConfig(ConfigView view) {
        teams = view.teams();
        declareIfChanged();
    }

    synchronized void applyHostListing(HostListing listing) {
        long listedCount = listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.ENTRY)
                .count();
        entryHostCount = (int) Math.max(1, listedCount);
        declareIfChanged();
    }

    private void declareIfChanged() {
        ImmutableList<TeamSpec> shares = teams.entrySet().stream()
                .map(team -> hostShare(team.getKey(), team.getValue()))
                .collect(ImmutableList.toImmutableList());
        if (!shares.equals(declaredShares)) {
            declaredShares = shares;
            eventSink.accept(new Event.TeamsDeclared(shares));
        }
    }

    private TeamSpec hostShare(String team, TeamBody body) {
        int maxRunning = IntMath.divide(body.quota(), entryHostCount, RoundingMode.CEILING);
        return new TeamSpec(team, body.weight(), maxRunning, Integer.MAX_VALUE);
    }
}
