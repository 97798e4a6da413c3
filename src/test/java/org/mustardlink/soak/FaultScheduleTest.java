package org.mustardlink.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

final class FaultScheduleTest {
    private static SoakShape shape(long seed) {
        return new SoakShape(seed, 30, 7, 3, 10, 40);
    }

    /** Guards against a seed that can't be played again. */
    @Test
    void a_seed_always_draws_the_same_schedule_and_lines_keep_it() {
        ImmutableList<Fault> faults = FaultSchedule.draw(shape(5));

        assertThat(FaultSchedule.draw(shape(5))).isEqualTo(faults);
        assertThat(faults.stream().map(Fault::line).map(Fault::parse).toList()).isEqualTo(faults);
        assertThat(FaultSchedule.draw(shape(6))).isNotEqualTo(faults);
    }

    /** Guards against schedules that no dispatcher could serve under. */
    @Test
    void at_most_a_third_of_the_hosts_and_a_fifth_of_the_targets_are_faulty_at_once() {
        for (long seed = 0; seed < 50; seed++) {
            ImmutableList<Fault> faults = FaultSchedule.draw(shape(seed));
            for (Fault fault : faults) {
                assertWithMessage("hosts of seed %s", seed)
                        .that(faulty(faults, FaultKind.Victim.HOST, fault.atMs()))
                        .isAtMost(2);
                assertWithMessage("targets of seed %s", seed)
                        .that(faulty(faults, FaultKind.Victim.TARGET, fault.atMs()))
                        .isAtMost(2);
            }
        }
    }

    private static long faulty(ImmutableList<Fault> faults, FaultKind.Victim what, long atMs) {
        return faults.stream()
                .filter(fault -> fault.kind().victim() == what)
                .filter(fault -> fault.atMs() <= atMs && atMs < FaultSchedule.endMs(fault))
                .mapToInt(Fault::victim)
                .distinct()
                .count();
    }
}
