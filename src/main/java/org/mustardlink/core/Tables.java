package org.mustardlink.core;

/** All state of the core. */
final class Tables {
    private final CoreSettings settings;
    private final SessionTable sessions;
    private final JobTable jobs = new JobTable();
    private final TargetTable targets = new TargetTable();
    private final AttemptTable attempts = new AttemptTable();
    private final QueueTable queue = new QueueTable();
    private final Estimates estimates = new Estimates();
    private boolean stopping;

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

    Estimates estimates() {
        return estimates;
    }

    boolean stopping() {
        return stopping;
    }

    void stop() {
        stopping = true;
    }
}
