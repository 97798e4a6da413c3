package org.mustardlink.core;

import java.util.function.Consumer;

/** Removes expired sessions, and answers beyond the limits on age, count and total length. */
final class RetentionSystem implements DispatchSystem {
    @Override
    public void run(Tables tables, long now, Consumer<Command> _out) {
        tables.jobs().expire(now, tables.settings());
        tables.sessions().expire(now);
    }
}
