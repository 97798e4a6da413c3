package org.mustardlink.core;

/** All state of the core. */
final class Tables {
    /** Half of the 0.1 messages a task that are allowed; the answers of peers draw on the other half. */
    private static final double MESSAGES_PER_START = 0.05;

    private final CoreSettings settings;
    private final SessionTable sessions;
    private final JobTable jobs = new JobTable();
    private final TargetTable targets = new TargetTable();
    private final AttemptTable attempts = new AttemptTable();
    private final QueueTable queue = new QueueTable();
    private final Estimates estimates = new Estimates();
    private final MessageBudget messages = new MessageBudget(MESSAGES_PER_START, 20);
    private final ShareTable shares;
    private boolean stopping;

    Tables(CoreSettings settings, SlotSharing sharing) {
        this.shares = new ShareTable(settings.host(), sharing);
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

    ShareTable shares() {
        return shares;
    }

    /** Returns the budget of messages between entry hosts. */
    MessageBudget messages() {
        return messages;
    }

    boolean stopping() {
        return stopping;
    }

    void stop() {
        stopping = true;
    }
}
