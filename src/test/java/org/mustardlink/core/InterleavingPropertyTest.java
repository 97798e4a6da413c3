package org.mustardlink.core;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Properties of the core under arbitrary interleavings of events from callers, targets and operators. */
class InterleavingPropertyTest {
    /** Guards against repeated starts, starts after the verdict, false verdicts, and jobs settled never or twice. */
    @Property(tries = 400, seed = "29")
    void no_interleaving_starts_a_task_again_or_gives_an_untrue_verdict(
            @ForAll @Size(max = 150) List<@IntRange(max = 99_999) Integer> steps) {
        CoreHarness world = new CoreHarness();
        steps.forEach(world::step);
        world.finish();
    }

    private static final class CoreHarness {
        private static final long MS = 1_000_000;
        private static final int NUMBERS = 6;
        private static final int TASKS = 2;
        private static final ImmutableList<AttemptResult.NotStartedCause> CAUSES =
                ImmutableList.copyOf(AttemptResult.NotStartedCause.values());

        private final DispatchCore core =
                DispatchCore.create(CoreSettings.defaults("entry", 1), PlacementPolicy.fastestFree());
        private final List<Command.StartTask> inFlight = new ArrayList<>();
        private final List<Event.AttemptEnded> attemptEnds = new ArrayList<>();
        private final Set<TaskId> mayHaveRun = new HashSet<>();
        private final Set<TaskId> completed = new HashSet<>();
        private final Map<SubmissionId, Verdict> verdicts = new HashMap<>();
        private final Set<Long> unanswered = new HashSet<>();
        private SessionId session;
        private long now = MS;
        private long requester;
        private boolean startsHeld;

        private CoreHarness() {
            declare(2);
            tick(new Event.SessionRequested(0));
        }

        private void step(int step) {
            int choice = step / 14;
            SubmissionId id = new SubmissionId(session, choice % NUMBERS);
            switch (step % 14) {
                case 0, 1, 2 -> tick(new Event.JobSubmitted(newRequester(), id, job(choice)));
                case 3 -> tick(new Event.AnswerRequested(newRequester(), id));
                case 4 -> tick(new Event.JobCancelled(newRequester(), id));
                case 5, 6, 7 -> endAttempt(choice);
                case 8 -> repeatAttemptEnd(choice);
                case 9 -> declare(choice % 4);
                case 10 -> tick(new Event.TargetsDraining(choice % 3 == 0 ? ImmutableSet.of("t0") : ImmutableSet.of()));
                case 11 -> setStartsHeld(choice % 2 == 0);
                case 12 -> advanceTime(choice % 700);
                default -> applyOperatorEvent(choice % 40);
            }
        }

        private void finish() {
            setStartsHeld(false);
            advanceTime(3000);
            while (!inFlight.isEmpty()) {
                endAttempt(1);
            }
            advanceTime(3000);
            assertThat(core.openJobs()).isEqualTo(0);
            assertWithMessage("requesters without an answer").that(unanswered).isEmpty();
        }

        private static JobRequest job(int choice) {
            Duration deadline = Duration.ofMillis(100 + choice % 1900);
            return new JobRequest(
                    "yard",
                    "team",
                    "class",
                    false,
                    deadline,
                    ImmutableList.copyOf(Collections.nCopies(TASKS, new TaskSpec("payload", 50))));
        }

        private void applyOperatorEvent(int choice) {
            switch (choice) {
                case 0 -> tick(new Event.StopRequested());
                case 1 -> tick(new Event.GracePeriodEnded());
                case 2 -> tick(new Event.HandoverRequested());
                default -> tick(new Event.TargetUnresponsive("t" + choice % 3));
            }
        }

        private void declare(int count) {
            tick(new Event.TargetsDeclared(IntStream.range(0, count)
                    .mapToObj(i -> new TargetSpec("t" + i, "yard", "a", "127.0.0.1:1", 2, 64, 1.0 + i))
                    .collect(ImmutableList.toImmutableList())));
        }

        private void setStartsHeld(boolean hold) {
            // The resumption takes effect within the tick that applies it, so the flag is set before the tick.
            startsHeld = hold;
            tick(hold ? new Event.StartsHeld() : new Event.StartsResumed());
        }

        private void advanceTime(int ms) {
            now += ms * MS;
            tick();
        }

        private void endAttempt(int choice) {
            if (inFlight.isEmpty()) {
                return;
            }
            Command.StartTask start = inFlight.remove(choice % inFlight.size());
            AttemptResult result =
                    switch (choice % 3) {
                        case 0 -> new AttemptResult.NotStarted(CAUSES.get(choice % CAUSES.size()), Optional.empty());
                        case 1 -> new AttemptResult.Completed("ok", Optional.empty());
                        default -> new AttemptResult.Lost(Reason.TARGET_LOST, Optional.empty());
                    };
            if (result instanceof AttemptResult.NotStarted) {
                mayHaveRun.remove(start.task());
            } else if (result instanceof AttemptResult.Completed) {
                completed.add(start.task());
            }
            Event.AttemptEnded end = new Event.AttemptEnded(start.task(), start.attempt(), result);
            attemptEnds.add(end);
            tick(end);
        }

        /** Delivers the end of an attempt a second time, possibly while a later attempt is in flight. */
        private void repeatAttemptEnd(int choice) {
            if (!attemptEnds.isEmpty()) {
                tick(attemptEnds.get(choice % attemptEnds.size()));
            }
        }

        private long newRequester() {
            unanswered.add(++requester);
            return requester;
        }

        private void tick(Event... events) {
            now += MS;
            core.tick(List.of(events), now).forEach(this::check);
        }

        private void check(Command command) {
            if (command instanceof Command.StartTask start) {
                assertWithMessage("start while starts are held")
                        .that(startsHeld)
                        .isFalse();
                assertWithMessage("start after an attempt that may have run")
                        .that(mayHaveRun.add(start.task()))
                        .isTrue();
                assertWithMessage("start after the verdict")
                        .that(verdicts)
                        .doesNotContainKey(start.task().submission());
                inFlight.add(start);
            } else if (command instanceof Command.DeliverVerdict delivered) {
                assertThat(unanswered.remove(delivered.requester())).isTrue();
                checkVerdict(delivered.id(), delivered.verdict());
            } else if (command instanceof Command.ReportUnused unused) {
                assertThat(unanswered.remove(unused.requester())).isTrue();
                assertThat(verdicts).doesNotContainKey(unused.id());
            } else if (command instanceof Command.SessionGranted granted) {
                session = granted.session();
            }
        }

        private void checkVerdict(SubmissionId id, Verdict verdict) {
            Verdict first = verdicts.computeIfAbsent(id, _unused -> verdict);
            assertWithMessage("second verdict of the submission").that(verdict).isEqualTo(first);
            long ran = IntStream.range(0, TASKS)
                    .filter(i -> mayHaveRun.contains(new TaskId(id, i)))
                    .count();
            if (verdict.outcome() == Outcome.NOT_RUN) {
                assertThat(ran).isEqualTo(0);
            }
            if (verdict.outcome() == Outcome.COMPLETE) {
                assertThat(verdict.results()).hasSize(TASKS);
                IntStream.range(0, TASKS).forEach(i -> assertThat(completed).contains(new TaskId(id, i)));
            }
        }
    }
}
