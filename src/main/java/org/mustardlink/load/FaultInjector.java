package org.mustardlink.load;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.mustardlink.standin.StandInTarget;
import org.mustardlink.standin.TestBed;

/** Injects the faults of a run into an in-process deployment at their times. */
final class FaultInjector implements AutoCloseable {
    private static final int RACK_SIZE = 8;

    private final TestBed bed;
    private final LoadSettings settings;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

    FaultInjector(TestBed bed, LoadSettings settings) {
        this.bed = bed;
        this.settings = settings;
    }

    /** Schedules every fault, with the current time as the start of the warm-up. */
    void start() {
        for (Fault fault : settings.faults()) {
            schedule(fault.fromSecond(), () -> beginFault(fault));
            if (Double.isFinite(fault.toSecond())) {
                schedule(fault.toSecond(), () -> endFault(fault));
            }
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void schedule(double second, Runnable action) {
        ScheduledFuture<?> _scheduled =
                timer.schedule(action, Math.round((settings.warmupSeconds() + second) * 1000), TimeUnit.MILLISECONDS);
    }

    private void beginFault(Fault fault) {
        ImmutableList<StandInTarget> targets = bed.targets();
        switch (fault.kind()) {
            case BLACKHOLE -> targets.get(fault.index()).switchMode(StandInTarget.Mode.FAIL_FAST);
            case STALL -> targets.get(fault.index()).switchMode(StandInTarget.Mode.STALL);
            case KILL -> targets.get(fault.index()).close();
            case RACK ->
                targets.subList(fault.index(), fault.index() + RACK_SIZE).forEach(StandInTarget::close);
            case ENTRY -> bed.entryHosts().get(fault.index()).close();
            case PARTITION, OVERLOAD -> {}
        }
    }

    private void endFault(Fault fault) {
        switch (fault.kind()) {
            case BLACKHOLE, STALL -> bed.targets().get(fault.index()).switchMode(StandInTarget.Mode.NORMAL);
            case KILL, RACK, ENTRY, PARTITION, OVERLOAD -> {}
        }
    }
}
