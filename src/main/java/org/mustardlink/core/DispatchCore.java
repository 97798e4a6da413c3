package org.mustardlink.core;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The decisions of one entry host: events in, commands out.
 *
 * <p>Deterministic: the same events at the same times give the same commands. Not thread-safe; one thread calls it.
 * Each task of a submission is started at most once after an attempt that may have run, because a task returns to the
 * queue only from an attempt that certainly did not start.
 */
public final class DispatchCore {
    /** Longest time between two ticks while jobs are open, in nanoseconds; blocked targets are looked at again then. */
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
     * Creates an empty core that accepts every job.
     *
     * @param settings every bound
     * @param placement chooses targets
     */
    public static DispatchCore create(CoreSettings settings, PlacementPolicy placement) {
        return create(settings, Policies.of(placement));
    }

    /**
     * Creates an empty core.
     *
     * @param settings every bound
     * @param policies every decision that can be exchanged
     */
    public static DispatchCore create(CoreSettings settings, Policies policies) {
        return new DispatchCore(settings, policies);
    }

    /**
     * Applies events in order, then runs every system once.
     *
     * @param events what happened since the last tick
     * @param now monotonic time in nanoseconds, never going back
     * @return what to do, in order
     */
    public ImmutableList<Command> tick(List<Event> events, long now) {
        ImmutableList.Builder<Command> commands = ImmutableList.builder();
        Consumer<Command> out = commands::add;
        events.forEach(event -> apply(event, now, out));
        cancels.processBatch(cancelled -> callerEvents.cancel(cancelled, now, out));
        systems.forEach(system -> system.run(tables, now, out));
        return commands.build();
    }

    /** Returns the monotonic time in nanoseconds of the next tick that is due without an event, if any. */
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

    /** Returns the state of the core, for its own thread; others send {@link Event.SnapshotRequested}. */
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
