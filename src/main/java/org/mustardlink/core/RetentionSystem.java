package org.mustardlink.core;

import java.util.function.Consumer;

/** Drops answers and sessions beyond their bounds. */
final class RetentionSystem implements DispatchSystem {
    @Override
    public void run(Tables tables, long now, Consumer<Command> _out) {
        tables.jobs().expire(now, tables.settings());
        tables.sessions().expire(now);
    }
}
