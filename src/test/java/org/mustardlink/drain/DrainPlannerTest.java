package org.mustardlink.drain;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.DayOfWeek;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.config.records.WindowBody;

class DrainPlannerTest {
    private static final String TARGET = """
        {"schema":1,"change":"t%1$s","kind":"target","name":"%1$s","body":{"id":"%1$s","service":"bench",
         "domain":"utr-west","address":"127.0.0.1:1","slots":8,"connections":64,"declaredSpeed":1}}\
        """;
    private static final String WINDOW = """
        {"schema":1,"change":"w%1$s","kind":"window","name":"%1$s","body":{"targets":["%2$s"],
         "zone":"Europe/Amsterdam","day":"SUNDAY","start":"%3$s","minutes":%4$d}}\
        """;
    private static final String ORDER = """
        {"schema":1,"change":"o%1$s","kind":"drain","name":"%1$s","body":{"target":"a","action":"%2$s","until":%3$s}}\
        """;

    /** 03:00 local time on a Sunday without a daylight saving transition. */
    private static final Instant WINDOW_START = Instant.parse("2026-11-08T02:00:00Z");

    private final DrainPlanner planner = new DrainPlanner();

    /**
     * Guards against a window that is skipped, or opens an hour late, if its local start time does not exist on that
     * day.
     */
    @Test
    void a_start_in_a_daylight_saving_gap_moves_to_the_first_instant_after_the_gap() {
        assertThat(start("02:30", "2026-03-25T00:00:00Z")).isEqualTo(Instant.parse("2026-03-29T01:00:00Z"));
        assertThat(start("03:30", "2026-03-25T00:00:00Z")).isEqualTo(Instant.parse("2026-03-29T01:30:00Z"));
    }

    /** Guards against a window that opens twice, or the second time only, if its local start time occurs twice. */
    @Test
    void a_local_start_that_occurs_twice_takes_the_first() {
        assertThat(start("02:30", "2026-10-20T00:00:00Z")).isEqualTo(Instant.parse("2026-10-25T00:30:00Z"));
        assertThat(WeeklySchedule.nextOccurrence(window("02:30"), Instant.parse("2026-10-25T00:30:00Z"))
                        .start())
                .isEqualTo(Instant.parse("2026-11-01T01:30:00Z"));
    }

    /** Guards against tasks that start too shortly before a window to end before the window opens. */
    @Test
    void a_drain_begins_one_lead_time_before_the_window_and_ends_with_the_window() {
        ConfigView view = view(TARGET.formatted("a"), WINDOW.formatted("w", "a", "03:00", 60));

        assertThat(drained(view, WINDOW_START.minusSeconds(61))).isEmpty();
        assertThat(drained(view, WINDOW_START.minusSeconds(60))).containsExactly("a");
        assertThat(drained(view, WINDOW_START.plusSeconds(3599))).containsExactly("a");
        assertThat(drained(view, WINDOW_START.plusSeconds(3600))).isEmpty();
        assertThat(LeadTimes.forLongestRun(Duration.ofSeconds(40))).isAtLeast(Duration.ofSeconds(80));
        assertThat(LeadTimes.forLongestRun(Duration.ofHours(9))).isEqualTo(Duration.ofMinutes(15));
    }

    /** Guards against a target that takes tasks again when the first of two overlapping windows ends. */
    @Test
    void overlapping_windows_drain_until_the_last_one_ends() {
        ConfigView view = view(
                TARGET.formatted("a"),
                WINDOW.formatted("w", "a", "03:00", 60),
                WINDOW.formatted("x", "a", "03:30", 120));

        assertThat(planner.planDrains(view, Set.of(), _service -> Duration.ZERO, WINDOW_START.plusSeconds(3000))
                        .get("a")
                        .end())
                .isEqualTo(Optional.of(WINDOW_START.plusSeconds(9000)));
    }

    /** Guards against a target that stays drained after its window was cancelled or moved while open. */
    @Test
    void a_window_cancelled_or_moved_while_open_takes_effect_at_once() {
        assertThat(drained(
                        view(TARGET.formatted("a"), WINDOW.formatted("w", "a", "03:00", 60)),
                        WINDOW_START.plusSeconds(60)))
                .containsExactly("a");
        assertThat(drained(
                        view(TARGET.formatted("a"), WINDOW.formatted("w", "a", "05:00", 60)),
                        WINDOW_START.plusSeconds(61)))
                .isEmpty();
        assertThat(drained(view(TARGET.formatted("a")), WINDOW_START.plusSeconds(62)))
                .isEmpty();
    }

    /**
     * Guards against a target that gets no tasks after its release, and a release that applies too long or to other
     * drains.
     */
    @Test
    void a_release_overrides_windows_and_neither_drains_nor_leaving_marks() {
        String target = TARGET.formatted("a");
        String window = WINDOW.formatted("w", "a", "03:00", 60);
        String release = ORDER.formatted("r", "RELEASE", "\"2026-11-08T02:30:00Z\"");
        String drain = ORDER.formatted("d", "DRAIN", "null");

        assertThat(drained(view(target, window, release), WINDOW_START.plusSeconds(60)))
                .isEmpty();
        assertThat(drained(view(target, window, release), WINDOW_START.plusSeconds(1800)))
                .containsExactly("a");
        assertThat(drained(view(target, release, drain), WINDOW_START.plusSeconds(60)))
                .containsExactly("a");
        assertThat(planner.planDrains(view(target, release), Set.of("a"), _service -> Duration.ZERO, WINDOW_START)
                        .keySet())
                .containsExactly("a");
    }

    /** Guards against new tasks on a drained target after a small correction of the clock. */
    @Test
    void a_small_clock_step_back_keeps_a_drain_and_a_large_one_ends_it() {
        ConfigView view = view(TARGET.formatted("a"), WINDOW.formatted("w", "a", "03:00", 60));

        assertThat(drained(view, WINDOW_START)).containsExactly("a");
        assertThat(drained(view, WINDOW_START.minusSeconds(120))).containsExactly("a");
        assertThat(drained(view, WINDOW_START.minusSeconds(3600))).isEmpty();
        assertThat(drained(view, WINDOW_START)).containsExactly("a");
    }

    /** Guards against windows that drain all targets of a service without a warning to the operator. */
    @Test
    void windows_that_leave_a_service_without_capacity_cause_a_warning() {
        String one = WINDOW.formatted("w", "a", "03:00", 60);
        String other = WINDOW.formatted("x", "b", "03:30", 60);
        String apart = WINDOW.formatted("x", "b", "05:00", 60);
        String targets = TARGET.formatted("a");

        assertThat(CapacityCheck.warnings(
                        view(targets, TARGET.formatted("b"), one, apart), WINDOW_START.minusSeconds(9000)))
                .isEmpty();
        assertThat(CapacityCheck.warnings(
                        view(targets, TARGET.formatted("b"), one, other), WINDOW_START.minusSeconds(9000)))
                .containsExactly("service bench has 0 slots left in domain utr-west at 2026-11-08T02:30:00Z,"
                        + " below its minimum of 1");
    }

    /**
     * Guards against a drain that is reported as complete although a host that could not be asked may still send tasks.
     */
    @Test
    void a_drain_is_complete_only_when_every_host_answered() {
        TargetReport empty = new TargetReport(true, 0, Duration.ZERO, "ORDER d");
        TargetReport busy = new TargetReport(true, 2, Duration.ofSeconds(3), "ORDER d");
        TargetReport active = new TargetReport(false, 0, Duration.ZERO, "");

        assertThat(state(Optional.of(empty), Optional.of(empty))).isEqualTo(DrainStatus.State.DRAINED);
        assertThat(state(Optional.of(empty), Optional.of(busy))).isEqualTo(DrainStatus.State.DRAINING);
        assertThat(state(Optional.of(empty), Optional.of(active))).isEqualTo(DrainStatus.State.DRAINING);
        assertThat(state(Optional.of(empty), Optional.empty())).isEqualTo(DrainStatus.State.UNKNOWN);
        assertThat(state(Optional.of(active), Optional.empty())).isEqualTo(DrainStatus.State.ACTIVE);
    }

    /** Guards against a long run that is dropped within a day, and one that affects lead times for ever. */
    @Test
    void the_longest_run_is_remembered_for_a_day() {
        LongestRunTimes times = new LongestRunTimes();
        times.recordRunTime("bench", Duration.ofSeconds(9), 0);
        times.recordRunTime("bench", Duration.ofSeconds(1), Duration.ofHours(20).toNanos());

        assertThat(times.longest("bench", Duration.ofHours(23).toNanos())).isEqualTo(Duration.ofSeconds(9));
        assertThat(times.longest("bench", Duration.ofHours(25).toNanos())).isEqualTo(Duration.ofSeconds(1));
        assertThat(times.longest("bench", Duration.ofHours(99).toNanos())).isEqualTo(Duration.ZERO);
    }

    private ImmutableSet<String> drained(ConfigView view, Instant now) {
        return planner.planDrains(view, Set.of(), _service -> Duration.ofSeconds(60), now)
                .keySet();
    }

    private static DrainStatus.State state(Optional<TargetReport> one, Optional<TargetReport> other) {
        return DrainStatus.combine("a", Map.of("h1", one, "h2", other)).state();
    }

    private static ConfigView view(String... records) {
        ConfigState state = ConfigState.empty().apply(Arrays.asList(records));
        assertThat(state.outcomes().values().stream().filter(outcome -> !outcome.isAccepted()))
                .isEmpty();
        return ConfigView.of(state, Schemas.SUPPORTED);
    }

    private static Instant start(String local, String after) {
        return WeeklySchedule.nextOccurrence(window(local), Instant.parse(after))
                .start();
    }

    private static WindowBody window(String local) {
        return new WindowBody(
                ImmutableSet.copyOf(ImmutableList.of("a")), "Europe/Amsterdam", DayOfWeek.SUNDAY, local, 60);
    }
}
