package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Runs a core against simulated targets with a fake clock. Every start and verdict is checked against the guarantees
 * that hold for all inputs. The payload of a task is its true run time at speed 1, in milliseconds.
 */
final class FakeTargets {
    /** Behavior of a simulated target. */
    enum Mode {
        NORMAL,
        FAIL_FAST,
        STALL,
        REFUSE,
        NO_CONNECTION
    }

    static final String SERVICE = "yard";
    private static final long ROUND_TRIP_NANOS = 500_000;

    private final DispatchCore core;
    private final Map<String, Double> speeds = new LinkedHashMap<>();
    private final Map<String, Mode> modes = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<TaskId, Integer> attempts = new HashMap<>();
    private final Set<TaskId> mayHaveRun = new HashSet<>();
    private final Map<TaskId, String> targetOf = new HashMap<>();
    private final Set<SubmissionId> startedSubmissions = new HashSet<>();
    private final Set<TaskId> stopped = new HashSet<>();
    private final Map<SubmissionId, Verdict> verdicts = new LinkedHashMap<>();
    private final Map<SubmissionId, Long> submitNanos = new HashMap<>();
    private final Map<SubmissionId, Long> verdictNanos = new HashMap<>();
    private final PriorityQueue<Pending> pending =
            new PriorityQueue<>(Comparator.comparingLong(Pending::atNanos).thenComparingLong(Pending::sequence));
    private final List<Command> unhandled = new ArrayList<>();
    private SessionId session;
    private long nextNumber;
    private long nextPending;
    private long now = 1;
    private int slots;
    private int largestStopBatch;

    private record Pending(long atNanos, long sequence, Event event) {}

    FakeTargets(DispatchCore core) {
        this.core = core;
        tick(ImmutableList.of(new Event.SessionRequested(0)));
    }

    /** Declares targets t0, t1 and so on, with a declared speed of 1 and the given true speeds. */
    FakeTargets declare(int slotsEach, double... trueSpeeds) {
        slots = slotsEach;
        ImmutableList.Builder<TargetSpec> specs = ImmutableList.builder();
        for (int i = 0; i < trueSpeeds.length; i++) {
            speeds.put("t" + i, trueSpeeds[i]);
            specs.add(new TargetSpec("t" + i, SERVICE, "balanza", "127.0.0.1:1", slotsEach, 64, 1));
        }
        return send(new Event.TargetsDeclared(specs.build()));
    }

    FakeTargets setMode(String target, Mode mode) {
        modes.put(target, mode);
        return this;
    }

    FakeTargets send(Event event) {
        tick(ImmutableList.of(event));
        return this;
    }

    /** Schedules an event for delivery at the given time. */
    void schedule(long nanos, Event event) {
        pending.add(new Pending(nanos, nextPending++, event));
    }

    /** Returns the id that the next submission uses. */
    SubmissionId nextId() {
        return new SubmissionId(session, nextNumber);
    }

    /** Submits a job of tasks with the given true run times, all with the declared run time {@code declaredMs}. */
    SubmissionId submit(String team, String jobClass, Duration deadline, long declaredMs, long... trueMs) {
        ImmutableList.Builder<TaskSpec> tasks = ImmutableList.builder();
        for (long ms : trueMs) {
            tasks.add(new TaskSpec(Long.toString(ms), declaredMs > 0 ? declaredMs : ms));
        }
        return submit(new JobRequest(SERVICE, team, jobClass, true, deadline, tasks.build()));
    }

    SubmissionId submit(JobRequest request) {
        if (nextNumber > SubmissionId.MAX_SEQUENCE) {
            nextNumber = 0;
            send(new Event.SessionRequested(0));
        }
        SubmissionId id = new SubmissionId(session, nextNumber++);
        submitNanos.put(id, now);
        send(new Event.JobSubmitted(1, id, request));
        return id;
    }

    void runUntil(long end) {
        while (true) {
            OptionalLong due = core.nextDue(now);
            long next = Math.min(
                    due.isPresent() ? Math.max(now, due.getAsLong()) : Long.MAX_VALUE,
                    pending.isEmpty() ? Long.MAX_VALUE : pending.element().atNanos());
            if (next > end) {
                now = Math.max(now, end);
                return;
            }
            now = Math.max(now + 1, next);
            List<Event> events = new ArrayList<>();
            while (!pending.isEmpty() && pending.element().atNanos() <= now) {
                Event event = pending.remove().event();
                if (event instanceof Event.AttemptEnded ended) {
                    running.merge(targetOf.remove(ended.task()), -1, Integer::sum);
                }
                events.add(event);
            }
            tick(events);
        }
    }

    void runFor(Duration time) {
        runUntil(now + time.toNanos());
    }

    long now() {
        return now;
    }

    DispatchCore core() {
        return core;
    }

    CoreSnapshot.Target target(String id) {
        return core.snapshot(now).targets().stream()
                .filter(target -> target.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    int largestStopBatch() {
        return largestStopBatch;
    }

    Optional<Verdict> verdict(SubmissionId id) {
        return Optional.ofNullable(verdicts.get(id));
    }

    /** Returns the time from the submission to the verdict, in nanoseconds. */
    long responseNanos(SubmissionId id) {
        return verdictNanos.get(id) - submitNanos.get(id);
    }

    Set<SubmissionId> submissions() {
        return submitNanos.keySet();
    }

    int starts(String target) {
        return starts.getOrDefault(target, 0);
    }

    int starts() {
        return starts.values().stream().mapToInt(Integer::intValue).sum();
    }

    int attempts(TaskId task) {
        return attempts.getOrDefault(task, 0);
    }

    /** Returns the commands other than starts, stops and verdicts since the last call. */
    ImmutableList<Command> drainCommands() {
        ImmutableList<Command> drained = ImmutableList.copyOf(unhandled);
        unhandled.clear();
        return drained;
    }

    private void tick(List<Event> events) {
        int stops = stopped.size();
        for (Command command : core.tick(events, now)) {
            if (command instanceof Command.StartTask start) {
                start(start);
            } else if (command instanceof Command.StopTask stop) {
                stopped.add(stop.task());
            } else if (command instanceof Command.DeliverVerdict delivered) {
                Verdict earlier = verdicts.putIfAbsent(delivered.id(), delivered.verdict());
                checkState(
                        earlier == null || earlier.equals(delivered.verdict()),
                        "second verdict differs from the first: %s",
                        delivered);
                verdictNanos.putIfAbsent(delivered.id(), now);
                checkNotRunClaim(delivered);
            } else if (command instanceof Command.SessionGranted granted) {
                session = granted.session();
            } else {
                unhandled.add(command);
            }
        }
        largestStopBatch = Math.max(largestStopBatch, stopped.size() - stops);
    }

    private void start(Command.StartTask start) {
        String target = start.target().id();
        checkState(!verdicts.containsKey(start.task().submission()), "start after the verdict: %s", start);
        checkState(!mayHaveRun.contains(start.task()), "start after an attempt that may have run: %s", start);
        checkState(
                running.merge(target, 1, Integer::sum) <= slots,
                "more attempts in flight than slots at target %s",
                target);
        checkState(targetOf.put(start.task(), target) == null, "start while another attempt is in flight: %s", start);
        starts.merge(target, 1, Integer::sum);
        attempts.merge(start.task(), 1, Integer::sum);
        Mode mode = modes.getOrDefault(target, Mode.NORMAL);
        if (mode == Mode.REFUSE || mode == Mode.NO_CONNECTION) {
            AttemptResult.NotStartedCause cause = mode == Mode.REFUSE
                    ? AttemptResult.NotStartedCause.BUSY
                    : AttemptResult.NotStartedCause.NO_CONNECTION;
            scheduleEnd(start, ROUND_TRIP_NANOS, new AttemptResult.NotStarted(cause, Optional.empty()));
            return;
        }
        mayHaveRun.add(start.task());
        startedSubmissions.add(start.task().submission());
        long runNanos = Math.round(Long.parseLong(start.spec().payload()) * 1e6 / speeds.get(target));
        if (mode == Mode.FAIL_FAST) {
            scheduleEnd(start, ROUND_TRIP_NANOS, new AttemptResult.Lost(Reason.TASK_FAILED, Optional.empty()));
        } else if (mode == Mode.STALL || runNanos > start.lease().toNanos()) {
            scheduleEnd(
                    start, start.lease().toNanos(), new AttemptResult.Lost(Reason.TARGET_TIMEOUT, Optional.empty()));
        } else {
            scheduleEnd(
                    start,
                    ROUND_TRIP_NANOS + runNanos,
                    new AttemptResult.Completed("done", Optional.of(new LoadReport(running.get(target) - 1, slots))));
        }
    }

    private void scheduleEnd(Command.StartTask start, long delayNanos, AttemptResult result) {
        schedule(now + delayNanos, new Event.AttemptEnded(start.task(), start.attempt(), result));
    }

    private void checkNotRunClaim(Command.DeliverVerdict delivered) {
        if (delivered.verdict().outcome() == Outcome.NOT_RUN) {
            checkState(
                    !startedSubmissions.contains(delivered.id()),
                    "verdict NOT_RUN for a submission that has run: %s",
                    delivered);
        }
    }
}
