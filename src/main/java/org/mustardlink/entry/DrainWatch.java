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
import org.mustardlink.drain.Outstanding;
import org.mustardlink.drain.TargetReport;

/** Tells the core which targets are declared and which of them are drained. Thread-safe. */
final class DrainWatch {
    private final Clock clock;
    private final Consumer<Event> core;
    private final Consumer<TargetSpec> drained;
    private final DrainPlanner planner = new DrainPlanner();
    private final Outstanding outstanding = new Outstanding();
    private final long startNanos = System.nanoTime();
    private Optional<ConfigView> view = Optional.empty();
    private ImmutableSet<String> leaving = ImmutableSet.of();
    private ImmutableMap<String, DrainCause> causes = ImmutableMap.of();

    /**
     * Creates a watch without configuration.
     *
     * @param clock the wall clock
     * @param core receives events
     * @param drained told of each target when its drain begins
     */
    DrainWatch(Clock clock, Consumer<Event> core, Consumer<TargetSpec> drained) {
        this.clock = clock;
        this.core = core;
        this.drained = drained;
    }

    synchronized void configured(ConfigView next) {
        view = Optional.of(next);
        // The drains go first, so that a target declared inside an open window takes no work in between.
        decide();
        core.accept(new Event.TargetsDeclared(next.targets()));
    }

    synchronized void listed(HostListing listing) {
        leaving = listing.hosts().stream()
                .filter(host -> host.kind() == HostListing.Kind.TARGET)
                .filter(host -> host.state() == HostListing.State.LEAVING)
                .map(HostListing.Host::id)
                .collect(ImmutableSet.toImmutableSet());
        decide();
    }

    /** Decides again by the clock. */
    synchronized void decide() {
        if (view.isEmpty()) {
            return;
        }
        ImmutableMap<String, DrainCause> next =
                planner.decide(view.get(), leaving, service -> outstanding.lead(service, elapsed()), clock.instant());
        ImmutableSet<String> before = causes.keySet();
        causes = next;
        if (!next.keySet().equals(before)) {
            core.accept(new Event.TargetsDraining(next.keySet()));
            view.get().targets().stream()
                    .filter(target -> next.containsKey(target.id()) && !before.contains(target.id()))
                    .forEach(drained);
        }
    }

    void started(Command.StartTask start) {
        outstanding.started(start.target().id(), elapsed());
    }

    void ended(Command.StartTask start, Duration run) {
        outstanding.ended(start.target().id(), start.target().service(), run, elapsed());
    }

    synchronized ImmutableMap<String, DrainCause> causes() {
        return causes;
    }

    synchronized TargetReport report(String target) {
        String service = view.stream()
                .flatMap(config -> config.targets().stream())
                .filter(spec -> spec.id().equals(target))
                .map(TargetSpec::service)
                .findFirst()
                .orElse("");
        String reason = Optional.ofNullable(causes.get(target))
                .map(DrainCause::toString)
                .orElse("");
        return outstanding.report(target, service, reason, elapsed());
    }

    synchronized Map<String, TargetReport> reports() {
        return view.stream()
                .flatMap(config -> config.targets().stream())
                .collect(ImmutableMap.toImmutableMap(TargetSpec::id, spec -> report(spec.id())));
    }

    private long elapsed() {
        return System.nanoTime() - startNanos;
    }
}
