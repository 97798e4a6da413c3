package org.mustardlink.core;

import java.util.Optional;
import java.util.function.Consumer;

/** Settles jobs whose deadline has passed. */
final class DeadlineSystem implements DispatchSystem {
    @Override
    public void run(Tables tables, long now, Consumer<Command> out) {
        Optional<JobRow> overdue = tables.jobs().pollOverdue(now);
        while (overdue.isPresent()) {
            Verdict notRun = Verdict.failed(
                    Reason.DEADLINE_UNREACHABLE, tables.settings().retryAfter());
            Settlement.fail(tables, overdue.get(), notRun, Reason.DEADLINE_PASSED, now, out);
            overdue = tables.jobs().pollOverdue(now);
        }
    }
}
