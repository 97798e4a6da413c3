package org.mustardlink.soak;

/** Kinds of faults, each with its kind of victim, its weight in the random draw, and the bounds of its duration. */
enum FaultKind {
    /** The host receives SIGTERM; a new process starts some time after its exit. */
    HOST_STOP(VictimKind.HOST, 3, 50, 1_500),
    /** The host receives SIGKILL; a new process starts some time later. */
    HOST_KILL(VictimKind.HOST, 4, 50, 1_500),
    /** The host receives SIGSTOP, and SIGCONT some time later. */
    HOST_PAUSE(VictimKind.HOST, 4, 100, 3_000),
    /** The host's connections to the store, the targets and its peers are closed, and new ones are closed at once. */
    HOST_CUT(VictimKind.HOST, 3, 300, 4_000),
    /** The host's connections to the store are closed, and new ones are closed at once. */
    STORE_CUT(VictimKind.HOST, 2, 500, 5_000),
    /** The host's connections to the targets are closed, and new ones are closed at once. */
    TARGETS_CUT(VictimKind.HOST, 2, 300, 4_000),
    /** The connections between the host and its peers are closed, and new ones are closed at once. */
    PEERS_CUT(VictimKind.HOST, 2, 300, 4_000),
    /** Data that the host sends is dropped; data sent to it arrives. */
    HOST_MUTE(VictimKind.HOST, 2, 300, 4_000),
    /** Data that the host sends arrives; data sent to it is dropped. */
    HOST_DEAF(VictimKind.HOST, 2, 300, 4_000),
    /** The host's open connections stay open but carry no more data; new ones work. */
    HOST_SILENCE(VictimKind.HOST, 2, 0, 0),
    /** The host's open connections are reset. */
    HOST_RESET(VictimKind.HOST, 2, 0, 0),
    /** Data that the host sends and receives is delayed by a few tenths of a second. */
    HOST_DELAY(VictimKind.HOST, 2, 500, 4_000),
    /** The target crashes and restarts with the same id. */
    TARGET_CRASH(VictimKind.TARGET, 3, 100, 3_000),
    /** The target executes orders and closes the connection instead of answering. */
    TARGET_BREAKS_OFF(VictimKind.TARGET, 3, 300, 3_000),
    /** The target leaves some orders unanswered and executes them late. */
    TARGET_LATE(VictimKind.TARGET, 4, 500, 4_000),
    /** The target refuses to start any task. */
    TARGET_REFUSES(VictimKind.TARGET, 1, 300, 3_000),
    /** Tasks on the target fail immediately. */
    TARGET_FAILS(VictimKind.TARGET, 1, 300, 3_000),
    /** Tasks on the target hang. */
    TARGET_HANGS(VictimKind.TARGET, 1, 300, 3_000),
    /** Tasks on the target run longer. */
    TARGET_SLOW(VictimKind.TARGET, 2, 500, 4_000),
    /** The target reports that it is draining. */
    TARGET_DRAINS(VictimKind.TARGET, 1, 500, 4_000),
    /** The store rejects every call. */
    STORE_DOWN(VictimKind.STORE, 2, 500, 5_000),
    /** The store answers with a delay. */
    STORE_SLOW(VictimKind.STORE, 1, 500, 4_000),
    /** The store executes calls and closes the connection instead of answering. */
    STORE_BREAKS_OFF(VictimKind.STORE, 2, 300, 3_000),
    /** The store discards the history of its topics. */
    STORE_FORGETS(VictimKind.STORE, 1, 0, 0),
    /** A new version of the configuration is written to the store. */
    CONFIG_CHANGE(VictimKind.NOTHING, 2, 0, 0),
    /** Callers submit three times as many jobs. */
    BURST(VictimKind.NOTHING, 2, 300, 1_500);

    /** Kinds of victims of a fault. */
    enum VictimKind {
        HOST,
        TARGET,
        STORE,
        NOTHING
    }

    private final VictimKind victimKind;
    private final int weight;
    private final int minDurationMs;
    private final int maxDurationMs;

    FaultKind(VictimKind victimKind, int weight, int minDurationMs, int maxDurationMs) {
        this.victimKind = victimKind;
        this.weight = weight;
        this.minDurationMs = minDurationMs;
        this.maxDurationMs = maxDurationMs;
    }

    VictimKind victimKind() {
        return victimKind;
    }

    /** Returns the weight of this kind in the random draw; the probability of a kind is its share of all weights. */
    int weight() {
        return weight;
    }

    int minDurationMs() {
        return minDurationMs;
    }

    int maxDurationMs() {
        return maxDurationMs;
    }
}
