package org.mustardlink.entry;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.core.Command;
import org.mustardlink.core.Event;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.directory.HostListing;
import org.mustardlink.drain.DrainCause;
import org.mustardlink.drain.DrainPlanner;
import org.mustardlink.drain.OutstandingTasks;
import org.mustardlink.drain.TargetReport;

/**
 * Notifies the core of the declared targets and of the targets to drain.
 *
 * <p>Evaluates the drains when the configuration or the platform's host list changes, and periodically. Thread-safe.
 */
final class DrainController {
    private final Clock clock;
    private final Consumer<Event> eventSink;
    private final Consumer<TargetSpec> drainListener;
    private final DrainPlanner drainPlanner = new DrainPlanner();
    private final OutstandingTasks outstandingTasks = new OutstandingTasks();
    private final long startNanos = System.nanoTime();
    private Optional<ConfigView> configView = Optional.empty();
    private ImmutableSet<String> leavingTargets = ImmutableSet.of();
    private ImmutableMap<String, DrainCause> drainCauses = ImmutableMap.of();

    /**
     * Creates a controller without a configuration.
     *
     * @param clock the wall clock
     * @param eventSink receives the events for the core
     * @param drainListener called with each target when the drain of the target begins
     */
    DrainController(Clock clock, Consumer<Event> eventSink, Consumer<TargetSpec> drainListener) {
        this.clock = clock;
        this.eventSink = eventSink;
        this.drainListener = drainListener;
    }

    synchronized void applyConfig(ConfigView next) {
        configView = Optional.of(next);
        // Drains are sent before declarations, so that a target declared during an open window takes no tasks in
        // between.
        evaluateDrains();
        eventSink.accept(new Event.TargetsDeclared(next.targets()));
    }

    synchronized void applyHostListing(HostListing listing) {
        leavingTargets = listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.TARGET)
                .filter(host -> host.state() == HostListing.State.LEAVING)
                .map(HostListing.Host::id)
                .collect(ImmutableSet.toImmutableSet());
        evaluateDrains();
    }

    /** Evaluates the drains at the current time and notifies the core if the set of drained targets has changed. */
    synchronized void evaluateDrains() {
        if (configView.isEmpty()) {
            return;
        }
        ImmutableMap<String, DrainCause> next = drainPlanner.planDrains(
                configView.get(),
                leavingTargets,
                service -> outstandingTasks.leadTime(service, elapsedNanos()),
                clock.instant());
        ImmutableSet<String> drainedBefore = drainCauses.keySet();
        drainCauses = next;
        if (!next.keySet().equals(drainedBefore)) {
            eventSink.accept(new Event.TargetsDraining(next.keySet()));
            configView.get().targets().stream()
                    .filter(target -> next.containsKey(target.id()) && !drainedBefore.contains(target.id()))
                    .forEach(drainListener);
        }
    }

    void recordStart(Command.StartTask start) {
        outstandingTasks.recordStart(start.target().id(), elapsedNanos());
    }

    void recordEnd(Command.StartTask start, Duration runTime) {
        outstandingTasks.recordEnd(start.target().id(), start.target().service(), runTime, elapsedNanos());
    }

    synchronized ImmutableMap<String, DrainCause> drainCauses() {
        return drainCauses;
    }

    synchronized TargetReport report(String target) {
        String service = configView.stream()
                .flatMap(config -> config.targets().stream())
                .filter(spec -> spec.id().equals(target))
                .map(TargetSpec::service)
                .findFirst()
                .orElse("");
        String reason = Optional.ofNullable(drainCauses.get(target))
                .map(DrainCause::toString)
                .orElse("");
        return outstandingTasks.report(target, service, reason, elapsedNanos());
    }

    synchronized Map<String, TargetReport> reports() {
        return configView.stream()
                .flatMap(config -> config.targets().stream())
                .collect(ImmutableMap.toImmutableMap(TargetSpec::id, spec -> report(spec.id())));
    }

    private long elapsedNanos() {
        return System.nanoTime() - startNanos;
    }
}
