package org.mustardlink.core;

/** All tables and other state of the core. */
final class Tables {
    /** Half of the limit of 0.1 messages per task; the offers of other hosts use the other half. */
    private static final double MESSAGES_PER_START = 0.05;

    /** Fraction of the starts that may be retries, so that refusals cannot multiply the load on the targets. */
    private static final double RETRIES_PER_START = 0.1;

    private final CoreSettings settings;
    private final SessionTable sessions;
    private final JobTable jobs = new JobTable();
    private final TargetTable targets = new TargetTable();
    private final AttemptTable attempts = new AttemptTable();
    private final TeamTable teams = new TeamTable();
    private final QueueTable queue = new QueueTable(teams);
    private final BacklogEstimator backlogEstimator = new BacklogEstimator(this);
    private final RunTimeEstimates runTimeEstimates = new RunTimeEstimates();
    private final TokenBucket messageBudget = new TokenBucket(MESSAGES_PER_START, 20);
    private final TokenBucket retryBudget = new TokenBucket(RETRIES_PER_START, 100);
    private final StopTable stops = new StopTable();
    private final Counters counters = new Counters();
    private final ShareTable shares;
    private boolean stopping;
    private boolean startsHeld;

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

    RunTimeEstimates runTimeEstimates() {
        return runTimeEstimates;
    }

    ShareTable shares() {
        return shares;
    }

    /** Returns the budget of messages to other entry hosts about slots. */
    TokenBucket messageBudget() {
        return messageBudget;
    }

    TeamTable teams() {
        return teams;
    }

    BacklogEstimator backlogEstimator() {
        return backlogEstimator;
    }

    /** Returns the budget of retries, that is, starts of tasks whose earlier attempt certainly did not start. */
    TokenBucket retryBudget() {
        return retryBudget;
    }

    StopTable stops() {
        return stops;
    }

    Counters counters() {
        return counters;
    }

    boolean isStopping() {
        return stopping;
    }

    /** Returns whether no task may be started because the process may have been suspended. */
    boolean areStartsHeld() {
        return startsHeld;
    }

    void setStartsHeld(boolean held) {
        startsHeld = held;
    }

    void beginStop() {
        stopping = true;
    }
}
