package org.mustardlink.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

final class FaultScheduleTest {
    private static SoakShape shape(long seed) {
        return new SoakShape(seed, 30, 7, 3, 10, 40);
    }

    /** Guards against a soak that cannot be repeated from its seed or its schedule file. */
    @Test
    void same_seed_gives_the_same_schedule_and_lines_preserve_it() {
        ImmutableList<Fault> faults = FaultSchedule.generate(shape(5));

        assertThat(FaultSchedule.generate(shape(5))).isEqualTo(faults);
        assertThat(faults.stream().map(Fault::format).map(Fault::parse).toList())
                .isEqualTo(faults);
        assertThat(FaultSchedule.generate(shape(6))).isNotEqualTo(faults);
    }

    /** Guards against schedules with so many simultaneous faults that no dispatcher could serve jobs. */
    @Test
    void at_most_a_third_of_the_hosts_and_a_fifth_of_the_targets_are_faulty_at_once() {
        for (long seed = 0; seed < 50; seed++) {
            ImmutableList<Fault> faults = FaultSchedule.generate(shape(seed));
            for (Fault fault : faults) {
                assertWithMessage("hosts of seed %s", seed)
                        .that(countFaulty(faults, FaultKind.VictimKind.HOST, fault.startMs()))
                        .isAtMost(2);
                assertWithMessage("targets of seed %s", seed)
                        .that(countFaulty(faults, FaultKind.VictimKind.TARGET, fault.startMs()))
                        .isAtMost(2);
            }
        }
    }

    private static long countFaulty(ImmutableList<Fault> faults, FaultKind.VictimKind victimKind, long atMs) {
        return faults.stream()
                .filter(fault -> fault.kind().victimKind() == victimKind)
                .filter(fault -> fault.startMs() <= atMs && atMs < FaultSchedule.recoveryMs(fault))
                .mapToInt(Fault::victimIndex)
                .distinct()
                .count();
    }
}
