package org.mustardlink.core;

/** All state of the core. */
final class Tables {
    private final CoreSettings settings;
    private final SessionTable sessions;
    private final JobTable jobs = new JobTable();
    private final TargetTable targets = new TargetTable();
    private final AttemptTable attempts = new AttemptTable();
    private final QueueTable queue = new QueueTable();
    private boolean stopping;
    private boolean startsHeld;

    Tables(CoreSettings settings) {
        this.settings = settings;
        this.sessions = new SessionTable(settings);
    }

    CoreSettings settings() {
        return settings;
    }

    SessionTable sessions() {
        return sessions;
    }

    JobTable jobs() {
        return jobs;
    }

    TargetTable targets() {
        return targets;
    }

    AttemptTable attempts() {
        return attempts;
    }

    QueueTable queue() {
        return queue;
    }

    boolean stopping() {
        return stopping;
    }

    /** Returns whether nothing may be started now. */
    boolean startsHeld() {
        return startsHeld;
    }

    void holdStarts(boolean held) {
        startsHeld = held;
    }

    void stop() {
        stopping = true;
    }
}
