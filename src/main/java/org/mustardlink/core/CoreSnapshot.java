package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multiset;

/**
 * What operators may see of a core at one moment.
 *
 * @param targets every declared target
 * @param teams every team that has tasks queued or running
 * @param openJobs jobs without a verdict
 * @param queuedTasks tasks that wait for a slot
 * @param runningTasks attempts in flight
 * @param counts counts since the core was created
 */
public record CoreSnapshot(
        ImmutableList<Target> targets,
        ImmutableList<Team> teams,
        int openJobs,
        int queuedTasks,
        int runningTasks,
        Counts counts) {
    /**
     * One target.
     *
     * @param id its id
     * @param outstanding attempts in flight
     * @param share slots that this host may use
     * @param speed learned speed, relative to 1
     * @param draining whether it takes no new work because it drains
     * @param ejected whether it takes no new work because it failed
     * @param probing whether it takes one task at a time after an ejection
     */
    public record Target(
            String id, int outstanding, int share, double speed, boolean draining, boolean ejected, boolean probing) {}

    /**
     * One team at one service.
     *
     * @param service the service
     * @param team the team
     * @param queued tasks that wait for their first start
     * @param running tasks of the team in flight at all services
     */
    public record Team(String service, String team, int queued, int running) {}

    /**
     * Counts since the core was created.
     *
     * @param starts tasks sent to targets
     * @param retries starts of tasks that certainly did not start before
     * @param ejections targets ejected
     * @param peerMessages messages to other entry hosts about slots
     * @param verdicts verdicts by reason
     * @param refusedStarts starts that certainly did not happen, by cause
     */
    public record Counts(
            long starts,
            long retries,
            long ejections,
            long peerMessages,
            ImmutableMap<Reason, Integer> verdicts,
            ImmutableMap<AttemptResult.NotStartedCause, Integer> refusedStarts) {}

    static <E> ImmutableMap<E, Integer> counts(Multiset<E> counted) {
        return counted.entrySet().stream()
                .collect(ImmutableMap.toImmutableMap(Multiset.Entry::getElement, Multiset.Entry::getCount));
    }

    static CoreSnapshot of(Tables tables, long now) {
        ImmutableList.Builder<Team> teams = ImmutableList.builder();
        for (String service : tables.queue().services()) {
            for (TeamFlow team : tables.queue().find(service).orElseThrow().teams()) {
                teams.add(new Team(
                        service, team.name(), team.size(), tables.teams().runningTasks(team.name())));
            }
        }
        return new CoreSnapshot(
                tables.targets().all().stream().map(row -> row.snapshot(now)).collect(ImmutableList.toImmutableList()),
                teams.build(),
                tables.jobs().openCount(),
                tables.queue().size(),
                tables.attempts().size(),
                tables.counters().snapshot());
    }
}
