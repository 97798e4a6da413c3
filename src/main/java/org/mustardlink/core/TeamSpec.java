package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A team's quota as configuration declares it.
 *
 * @param team the team
 * @param weight share of the capacity while others wait too, relative to the weights of the other teams, positive
 * @param maxRunning tasks of the team that this entry host runs at once, positive
 * @param maxQueued tasks of the team that wait at this entry host at once, positive
 */
public record TeamSpec(String team, double weight, int maxRunning, int maxQueued) {
    public TeamSpec {
        checkArgument(!team.isEmpty(), "team must not be empty");
        checkArgument(weight > 0, "weight must be positive: %s", weight);
        checkArgument(maxRunning > 0, "maxRunning must be positive: %s", maxRunning);
        checkArgument(maxQueued > 0, "maxQueued must be positive: %s", maxQueued);
    }

    /** Returns the quota of a team that configuration does not name: weight 1 and no limits of its own. */
    public static TeamSpec unlimited(String team) {
        return new TeamSpec(team, 1, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }
}
