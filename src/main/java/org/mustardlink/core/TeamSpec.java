package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The quota of a team as declared in the configuration.
 *
 * @param team name of the team
 * @param weight share of the capacity while other teams have queued tasks too, relative to their weights, positive
 * @param maxRunning maximum number of tasks of the team in flight from this entry host, positive
 * @param maxQueued maximum number of tasks of the team that are queued for a service at this entry host, positive
 */
public record TeamSpec(String team, double weight, int maxRunning, int maxQueued) {
    public TeamSpec {
        checkArgument(!team.isEmpty(), "team must not be empty");
        checkArgument(weight > 0, "weight must be positive: %s", weight);
        checkArgument(maxRunning > 0, "maxRunning must be positive: %s", maxRunning);
        checkArgument(maxQueued > 0, "maxQueued must be positive: %s", maxQueued);
    }

    /** Returns the quota of a team that is not configured: weight 1 and no limits. */
    public static TeamSpec unlimited(String team) {
        return new TeamSpec(team, 1, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }
}
