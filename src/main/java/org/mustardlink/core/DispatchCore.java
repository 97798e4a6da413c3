package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * State machine that makes all scheduling decisions of one entry host: it consumes events and emits commands.
 *
 * <p>Deterministic: the same events at the same times produce the same commands. Not thread-safe; all calls must come
 * from one thread. A task is never started again after an attempt that may have run, because a task returns to the
 * queue only if its attempt certainly did not start.
 */
public final class DispatchCore {
    /** Longest time between two ticks while tasks are queued, so that targets whose block has expired are noticed. */
    private static final long MAX_TICK_INTERVAL_NANOS = 20_000_000;

    private final Tables tables;
    private final CallerEventHandler callerEvents;
    private final AttemptEndHandler attemptEnds;
    private final UnreachableDeadlineSystem unreachableDeadlines = new UnreachableDeadlineSystem();
    private final SessionHandover handover;
    private final CancelTable cancels = new CancelTable();
    private final ShareSystem shareSystem = new ShareSystem();
    private final ImmutableList<DispatchSystem> systems;

    private DispatchCore(CoreSettings settings, Policies policies) {
        this.tables = new Tables(settings, policies.sharing());
        this.callerEvents = new CallerEventHandler(tables, policies.admission(), unreachableDeadlines);
        HealthSystem health = new HealthSystem(policies.ejection());
        this.attemptEnds = new AttemptEndHandler(tables, health, unreachableDeadlines);
        this.handover = new SessionHandover(tables);
        this.systems = ImmutableList.of(
                new DeadlineSystem(),
                unreachableDeadlines,
                health,
                new PlacementSystem(policies.placement()),
                shareSystem,
                tables.stops(),
                new RetentionSystem());
    }

    /**
     * Creates a core without targets or jobs that admits every job.
     *
     * @param settings limits and identity of the entry host
     * @param placement policy that chooses the target of each task
     */
    public static DispatchCore create(CoreSettings settings, PlacementPolicy placement) {
        return create(settings, Policies.of(placement));
    }

    /**
     * Creates a core without targets or jobs.
     *
     * @param settings limits and identity of the entry host
     * @param policies placement, admission, ejection and slot sharing
     */
    public static DispatchCore create(CoreSettings settings, Policies policies) {
        return new DispatchCore(settings, policies);
    }

    /**
     * Applies the events in order, then runs every system once.
     *
     * @param events events since the last tick
     * @param now monotonic time in nanoseconds, not less than in the previous call
     * @return the commands to execute, in order
     */
    public ImmutableList<Command> tick(List<Event> events, long now) {
        ImmutableList.Builder<Command> commands = ImmutableList.builder();
        Consumer<Command> out = commands::add;
        events.forEach(event -> apply(event, now, out));
        cancels.processBatch(cancelled -> callerEvents.cancel(cancelled, now, out));
        systems.forEach(system -> system.run(tables, now, out));
        return commands.build();
    }

    /** Returns the monotonic time in nanoseconds at which the core must tick even if no event arrives, if any. */
    public OptionalLong nextDue(long now) {
        if (!cancels.isEmpty() || !tables.stops().isEmpty()) {
            return OptionalLong.of(now);
        }
        OptionalLong deadline = tables.jobs().nextDeadline();
        if (deadline.isEmpty() || tables.queue().size() == 0) {
            return deadline;
        }
        long latestStartDue = unreachableDeadlines.nextDue().orElse(Long.MAX_VALUE);
        return OptionalLong.of(Math.min(Math.min(deadline.getAsLong(), latestStartDue), now + MAX_TICK_INTERVAL_NANOS));
    }

    /** Returns the number of jobs without a verdict. */
    public int openJobs() {
        return tables.jobs().openCount();
    }

    /** Returns a snapshot of the core. Other threads must send {@link Event.SnapshotRequested} instead. */
    public CoreSnapshot snapshot(long now) {
        return CoreSnapshot.of(tables, now);
    }

    private void apply(Event event, long now, Consumer<Command> out) {
        if (event instanceof Event.AttemptEnded ended) {
            attemptEnds.attemptEnded(ended, now, out);
        } else if (event instanceof Event.JobSubmitted submitted) {
            callerEvents.submit(submitted, now, out);
        } else if (event instanceof Event.SessionRequested requested) {
            callerEvents.openSession(requested, now, out);
        } else if (event instanceof Event.AnswerRequested requested) {
            callerEvents.lookUpAnswer(requested, out);
        } else if (event instanceof Event.JobCancelled cancelled) {
            cancels.add(cancelled);
        } else if (event instanceof Event.RequesterDisconnected gone) {
            callerEvents.detachRequester(gone);
        } else if (event instanceof Event.TargetsDeclared declared) {
            tables.targets().declare(declared.targets());
            tables.shares().assignShares(tables.targets());
        } else if (event instanceof Event.TargetsDraining draining) {
            tables.targets().setDraining(draining.targets());
        } else if (event instanceof Event.SnapshotRequested requested) {
            out.accept(new Command.DeliverSnapshot(requested.requester(), CoreSnapshot.of(tables, now)));
        } else if (event instanceof Event.TeamsDeclared declared) {
            tables.teams().declare(declared.teams());
        } else if (event instanceof Event.EntryHostsChanged known) {
            tables.shares().setHosts(known);
            tables.shares().assignShares(tables.targets());
        } else if (event instanceof Event.SlotsRequested reported) {
            shareSystem.lend(tables, reported, now, out);
        } else if (event instanceof Event.SlotsOffered offered) {
            shareSystem.borrow(tables, offered, now);
        } else if (event instanceof Event.TargetUnresponsive silent) {
            attemptEnds.pauseUnresponsiveTarget(silent, now);
        } else {
            applyLifecycle(event, now, out);
        }
    }

    private void applyLifecycle(Event event, long now, Consumer<Command> out) {
        if (event instanceof Event.StopRequested) {
            tables.beginStop();
        } else if (event instanceof Event.GracePeriodEnded) {
            handover.endGracePeriod(now, out);
        } else if (event instanceof Event.HandoverRequested) {
            handover.handOver(now, out);
        } else if (event instanceof Event.HandoverReceived inherited) {
            handover.acceptHandover(inherited, now, out);
        } else if (event instanceof Event.StartsHeld) {
            tables.setStartsHeld(true);
        } else if (event instanceof Event.StartsResumed) {
            tables.setStartsHeld(false);
        }
    }
}
