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
    private static final long MAX_WAIT_NANOS = 20_000_000;

    private final Tables tables;
    private final Intake intake;
    private final AttemptOutcomes outcomes;
    private final ShareSystem shareSystem = new ShareSystem();
    private final ImmutableList<DispatchSystem> systems;

    private DispatchCore(CoreSettings settings, PlacementPolicy placement, SlotSharing sharing) {
        this.tables = new Tables(settings, sharing);
        this.intake = new Intake(tables);
        this.outcomes = new AttemptOutcomes(tables);
        this.systems = ImmutableList.of(
                new DeadlineSystem(), new PlacementSystem(placement), shareSystem, new RetentionSystem());
    }

    /**
     * Creates an empty core.
     *
     * @param settings every bound
     * @param placement chooses targets
     */
    public static DispatchCore create(CoreSettings settings, PlacementPolicy placement) {
        return create(settings, placement, SlotSharing.FIXED);
    }

    /**
     * Creates an empty core.
     *
     * @param settings every bound
     * @param placement chooses targets
     * @param sharing how slots are divided between the entry hosts of a failure domain
     */
    public static DispatchCore create(CoreSettings settings, PlacementPolicy placement, SlotSharing sharing) {
        return new DispatchCore(settings, placement, sharing);
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
        systems.forEach(system -> system.run(tables, now, out));
        return commands.build();
    }

    /** Returns the monotonic time in nanoseconds of the next tick that is due without an event, if any. */
    public OptionalLong nextDue(long now) {
        OptionalLong deadline = tables.jobs().nextDeadline();
        if (deadline.isEmpty() || tables.queue().size() == 0) {
            return deadline;
        }
        return OptionalLong.of(Math.min(deadline.getAsLong(), now + MAX_WAIT_NANOS));
    }

    /** Returns the number of jobs without a verdict. */
    public int openJobs() {
        return tables.jobs().open();
    }

    /** Returns the learned speed of a declared target, relative to 1. */
    double targetSpeed(String id) {
        return tables.targets().find(id).orElseThrow().speed();
    }

    /** Returns the slots of a declared target that this host may use. */
    int targetShare(String id) {
        return tables.targets().find(id).orElseThrow().share();
    }

    private void apply(Event event, long now, Consumer<Command> out) {
        if (event instanceof Event.AttemptEnded ended) {
            outcomes.apply(ended, now, out);
        } else if (event instanceof Event.JobSubmitted submitted) {
            intake.submit(submitted, now, out);
        } else if (event instanceof Event.SessionRequested requested) {
            intake.openSession(requested, now, out);
        } else if (event instanceof Event.AnswerRequested requested) {
            intake.lookUp(requested, out);
        } else if (event instanceof Event.JobCancelled cancelled) {
            intake.cancel(cancelled, now, out);
        } else if (event instanceof Event.RequesterGone gone) {
            intake.forget(gone);
        } else if (event instanceof Event.TargetsDeclared declared) {
            tables.targets().declare(declared.targets());
            tables.shares().assign(tables.targets());
        } else if (event instanceof Event.TargetsDraining draining) {
            tables.targets().drain(draining.targets());
        } else if (event instanceof Event.EntryHostsKnown known) {
            tables.shares().hosts(known);
            tables.shares().assign(tables.targets());
        } else if (event instanceof Event.PeerLoadReported reported) {
            shareSystem.lend(tables, reported, now, out);
        } else if (event instanceof Event.SharesOffered offered) {
            shareSystem.borrow(tables, offered, now);
        } else if (event instanceof Event.StopRequested) {
            tables.stop();
        }
    }
}
