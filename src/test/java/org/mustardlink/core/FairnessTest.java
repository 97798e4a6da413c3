package org.mustardlink.core;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.truth.Correspondence;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.mustardlink.core.policy.StandardPolicies;

/** Tests fair queueing between teams, quotas, admission and cancellation. */
class FairnessTest {
    private static final Duration LONG = Duration.ofMinutes(5);

    /** Guards against tasks of a team that wait until a large backlog of another team has been processed. */
    @Test
    void a_flood_by_one_team_does_not_delay_another() {
        FakeTargets targets = targets().declare(4, 1, 1);
        long[] tasks = new long[100];
        Arrays.fill(tasks, 100);
        for (int i = 0; i < 20; i++) {
            targets.submit("flood", "check", LONG, 100, tasks);
        }
        List<SubmissionId> quiet = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            quiet.add(targets.submit("quiet", "check", LONG, 100, 100));
            targets.runFor(Duration.ofMillis(200));
        }
        targets.runFor(Duration.ofSeconds(1));

        assertThat(quiet.stream().map(targets::responseNanos).collect(Collectors.toList()))
                .comparingElementsUsing(Correspondence.<Long, Long>from((actual, most) -> actual <= most, "is at most"))
                .containsExactlyElementsIn(Collections.nCopies(20, 220_000_000L));
    }

    /** Guards against weights that are ignored while several teams have queued tasks. */
    @Test
    void teams_share_the_capacity_by_weight() {
        FakeTargets targets = targets()
                .declare(4, 1)
                .send(new Event.TeamsDeclared(ImmutableList.of(
                        new TeamSpec("heavy", 3, 100, 10_000), new TeamSpec("light", 1, 100, 10_000))));
        List<SubmissionId> heavy = new ArrayList<>();
        List<SubmissionId> light = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            heavy.add(targets.submit("heavy", "check", LONG, 100, 100));
            light.add(targets.submit("light", "check", LONG, 100, 100));
        }
        targets.runFor(Duration.ofSeconds(8));

        long heavyDone =
                heavy.stream().filter(id -> targets.verdict(id).isPresent()).count();
        long lightDone =
                light.stream().filter(id -> targets.verdict(id).isPresent()).count();
        assertThat(heavyDone / (double) lightDone).isWithin(0.2).of(3);
    }

    /** Guards against a team that exceeds its quota of running or queued tasks. */
    @Test
    void a_team_stays_within_its_running_quota() {
        FakeTargets targets = targets()
                .declare(8, 1)
                .send(new Event.TeamsDeclared(ImmutableList.of(new TeamSpec("clerks", 1, 3, 5))));
        targets.submit("clerks", "check", LONG, 1000, 1000, 1000, 1000, 1000, 1000);
        SubmissionId second = targets.submit("clerks", "check", LONG, 1000, 1000, 1000, 1000, 1000);

        assertThat(targets.starts()).isEqualTo(3);
        assertThat(targets.verdict(second).orElseThrow().reason()).isEqualTo(Reason.QUOTA_EXCEEDED);
    }

    /** Guards against queueing a job that cannot meet its deadline, and against refusals without a retry-after time. */
    @Test
    void a_job_that_cannot_meet_its_deadline_is_refused_at_once() {
        FakeTargets targets = targets().declare(2, 1);
        long[] tasks = new long[100];
        Arrays.fill(tasks, 1000);
        targets.submit("clerks", "check", LONG, 1000, tasks);
        SubmissionId late = targets.submit("clerks", "check", Duration.ofSeconds(2), 1000, 1000);

        Verdict verdict = targets.verdict(late).orElseThrow();
        assertThat(verdict.reason()).isEqualTo(Reason.DEADLINE_UNREACHABLE);
        assertThat(verdict.retryAfter().orElseThrow()).isGreaterThan(Duration.ofSeconds(20));
    }

    /** Guards against many simultaneous cancellations that delay other callers or send too many stops in one tick. */
    @Test
    void many_cancellations_are_processed_in_batches() {
        FakeTargets targets = targets().declare(64, 1, 1);
        for (int i = 0; i < 3000; i++) {
            SubmissionId id = targets.submit("waves", "check", LONG, 500, 500);
            targets.schedule(10_000_000_000L, new Event.JobCancelled(2, id));
        }
        targets.runUntil(9_999_000_000L);
        SubmissionId other = targets.submit("quiet", "check", LONG, 100, 100);
        targets.runUntil(11_500_000_000L);

        assertThat(targets.largestStopBatch()).isAtMost(32);
        assertThat(targets.responseNanos(other)).isLessThan(700_000_000L);
        assertThat(targets.core().openJobs()).isEqualTo(0);
        assertThat(targets.core().snapshot(0).counts().verdicts()).containsKey(Reason.CANCELLED_RUNNING);
    }

    /** Guards against capacity spent on tasks that miss their deadline under overload, and against a slow recovery. */
    @Test
    void goodput_stays_high_under_overload_and_recovers_afterwards() {
        FakeTargets targets = targets().declare(8, 1);
        List<SubmissionId> during = new ArrayList<>();
        for (int i = 0; i < 7200; i++) {
            during.add(targets.submit("clerks", "check", Duration.ofSeconds(2), 100, 100));
            targets.runFor(Duration.ofNanos(8_333_333));
        }
        long done = during.stream()
                .filter(id -> targets.verdict(id)
                        .filter(verdict -> verdict.reason() == Reason.OK)
                        .isPresent())
                .count();
        targets.runFor(Duration.ofSeconds(2));
        SubmissionId after = targets.submit("clerks", "check", Duration.ofSeconds(2), 100, 100);
        targets.runFor(Duration.ofSeconds(1));

        assertThat(done / 4800.0).isGreaterThan(0.95);
        assertThat(targets.responseNanos(after)).isLessThan(150_000_000L);
    }

    private static FakeTargets targets() {
        return new FakeTargets(DispatchCore.create(
                CoreSettings.defaults("entry", 1), StandardPolicies.with(PlacementPolicy.fastestFree())));
    }
}
