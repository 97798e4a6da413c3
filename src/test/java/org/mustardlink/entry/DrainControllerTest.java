package org.mustardlink.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.core.Event;
import org.mustardlink.directory.HostListing;

class DrainControllerTest {
    private static final String TARGET = """
            {"schema":1,"change":"t","kind":"target","name":"a","body":{"id":"a","service":"yard","domain":"d",
             "address":"127.0.0.1:1","slots":8,"connections":64,"declaredSpeed":1}}""";
    private static final String WINDOW = """
            {"schema":1,"change":"w","kind":"window","name":"w","body":{"targets":["a"],"zone":"America/Montevideo",
             "day":"MONDAY","start":"02:00","minutes":60}}""";
    private static final Instant WINDOW_START = Instant.parse("2026-12-07T05:00:00Z");

    private final SettableClock clock = new SettableClock();
    private final List<Event> events = new ArrayList<>();
    private final DrainController controller = new DrainController(clock, events::add, _target -> {});

    /**
     * Guards against a host that pauses before a window, resumes during the window and sends tasks to a drained target.
     */
    @Test
    void a_host_that_resumes_inside_a_window_drains_its_target_without_a_new_configuration() {
        clock.now = WINDOW_START.minusSeconds(3600);
        controller.applyConfig(view(TARGET, WINDOW));
        assertThat(events)
                .containsExactly(new Event.TargetsDeclared(view(TARGET).targets()));
        events.clear();

        clock.now = WINDOW_START.plusSeconds(1200);
        controller.evaluateDrains();

        assertThat(events).containsExactly(new Event.TargetsDraining(ImmutableSet.of("a")));
    }

    /**
     * Guards against tasks that start between the declaration of a target and a drain that already covers the target.
     */
    @Test
    void a_target_declared_inside_a_window_is_drained_before_it_is_declared() {
        clock.now = WINDOW_START;
        controller.applyConfig(view(TARGET, WINDOW));

        assertThat(events)
                .containsExactly(
                        new Event.TargetsDraining(ImmutableSet.of("a")),
                        new Event.TargetsDeclared(view(TARGET).targets()))
                .inOrder();
    }

    /** Guards against new tasks on a target that the platform is about to stop. */
    @Test
    void a_leaving_mark_of_the_platform_drains_a_target_until_it_is_gone() {
        clock.now = WINDOW_START.minusSeconds(3600);
        controller.applyConfig(view(TARGET));
        controller.applyHostListing(listing(HostListing.State.LEAVING));
        controller.applyHostListing(listing(HostListing.State.LIVE));

        assertThat(events.subList(1, 3))
                .containsExactly(
                        new Event.TargetsDraining(ImmutableSet.of("a")), new Event.TargetsDraining(ImmutableSet.of()))
                .inOrder();
    }

    private static HostListing listing(HostListing.State state) {
        return new HostListing(
                0, ImmutableList.of(new HostListing.Host("a", HostListing.Kind.TARGET, "d", "127.0.0.1:1", state)));
    }

    private static ConfigView view(String... records) {
        return ConfigView.of(ConfigState.empty().apply(List.of(records)), Schemas.SUPPORTED);
    }

    private static final class SettableClock extends Clock {
        private Instant now = Instant.EPOCH;

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId _zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return now;
        }
    }
}
