package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multiset;

/**
 * State of a core at one moment, as shown to operators.
 *
 * @param targets all declared targets
 * @param teams teams with queued tasks, by service
 * @param openJobs number of jobs without a verdict
 * @param queuedTasks number of tasks waiting for a slot
 * @param runningTasks number of attempts in flight
 * @param counts counters since the core was created
 */
public record CoreSnapshot(
        ImmutableList<Target> targets,
        ImmutableList<Team> teams,
        int openJobs,
        int queuedTasks,
        int runningTasks,
        Counts counts) {
    /**
     * State of one target.
     *
     * @param id id of the target
     * @param outstanding number of attempts in flight
     * @param share slots that this host may use, free or not
     * @param speed learned speed, relative to 1
     * @param draining whether the target gets no new tasks because it is draining
     * @param ejected whether the target gets no new tasks because it failed or stalled
     * @param probing whether the target gets one task at a time after an ejection
     */
    public record Target(
            String id, int outstanding, int share, double speed, boolean draining, boolean ejected, boolean probing) {}

    /**
     * Load of one team at one service.
     *
     * @param service name of the service
     * @param team name of the team
     * @param queued number of tasks waiting for their first start
     * @param running number of tasks of the team in flight at all services
     */
    public record Team(String service, String team, int queued, int running) {}

    /**
     * Counters since the core was created.
     *
     * @param starts starts sent to targets
     * @param retries starts of tasks whose earlier attempts certainly did not start
     * @param ejections ejections of targets
     * @param peerMessages slot requests and offers sent to other entry hosts
     * @param verdicts verdicts by reason
     * @param refusedStarts attempts that certainly did not start, by cause
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
