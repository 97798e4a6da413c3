package org.mustardlink.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The use of one target over time: its present runs until their expected ends, and the runs that are planned on it.
 *
 * <p>Valid for one tick. Not thread-safe.
 */
final class TargetSchedule {
    /**
     * Share of its expected time that a run is assumed to need further once that time has passed. Running times deviate
     * from the expected ones by about a third.
     */
    private static final double OVERDUE_REST_SHARE = 0.2;

    private final Capacity capacity;
    /** Capacity that no present run uses; none if the needs of a run aren't known. */
    private final Capacity freeCapacity;

    private final long now;
    private final List<Slot> slots = new ArrayList<>();

    /**
     * The use of a target by one run.
     *
     * @param startNanos when the run starts; the time of the tick if it is present
     * @param endNanos expected end of the run; {@code Long.MAX_VALUE} if unknown
     */
    record Slot(long startNanos, long endNanos, Capacity need) {
        private boolean covers(long nanos) {
            return startNanos <= nanos && nanos < endNanos;
        }
    }

    private TargetSchedule(Capacity capacity, Capacity freeCapacity, long now) {
        this.capacity = capacity;
        this.freeCapacity = freeCapacity;
        this.now = now;
    }

    /** Returns the schedule of a target that has only its present runs. */
    static TargetSchedule of(PoolTarget target, long now) {
        TargetSchedule schedule = new TargetSchedule(target.entry().capacity(), target.freeCapacity(), now);
        for (Run run : target.runs()) {
            schedule.add(new Slot(now, endNanos(run, now), run.need()));
        }
        return schedule;
    }

    private static long endNanos(Run run, long now) {
        long expectedNanos = run.expectedEndNanos();
        return expectedNanos > now ? expectedNanos : now + (long) (OVERDUE_REST_SHARE * run.expectedNanos());
    }

    void add(Slot slot) {
        slots.add(slot);
    }

    void remove(Slot slot) {
        slots.remove(slot);
    }

    /** Returns whether a run that starts now fits, and goes on fitting beside the planned runs until its end. */
    boolean fitsNow(Capacity need, long durationNanos) {
        return freeCapacity.covers(need) && fits(need, now, durationNanos);
    }

    /**
     * Returns the earliest time from which a run fits for its whole duration; empty if the target is too small or the
     * ends of its present runs aren't known.
     */
    OptionalLong earliestStartNanos(Capacity need, long durationNanos) {
        if (fitsNow(need, durationNanos)) {
            return OptionalLong.of(now);
        }
        long earliestNanos = Long.MAX_VALUE;
        for (Slot slot : slots) {
            if (now < slot.endNanos()
                    && slot.endNanos() < earliestNanos
                    && fits(need, slot.endNanos(), durationNanos)) {
                earliestNanos = slot.endNanos();
            }
        }
        return earliestNanos == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(earliestNanos);
    }

    private boolean fits(Capacity need, long startNanos, long durationNanos) {
        if (!fitsAt(need, startNanos)) {
            return false;
        }
        // The use rises only where a run starts.
        for (Slot slot : slots) {
            if (startNanos < slot.startNanos()
                    && slot.startNanos() < startNanos + durationNanos
                    && !fitsAt(need, slot.startNanos())) {
                return false;
            }
        }
        return true;
    }

    private boolean fitsAt(Capacity need, long nanos) {
        int cpuMillis = need.cpuMillis();
        int memoryMb = need.memoryMb();
        int gpus = need.gpus();
        for (Slot slot : slots) {
            if (slot.covers(nanos)) {
                cpuMillis += slot.need().cpuMillis();
                memoryMb += slot.need().memoryMb();
                gpus += slot.need().gpus();
            }
        }
        return cpuMillis <= capacity.cpuMillis() && memoryMb <= capacity.memoryMb() && gpus <= capacity.gpus();
    }
}
