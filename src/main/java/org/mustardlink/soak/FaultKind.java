package org.mustardlink.soak;

/** What a fault is done to, and for how long. */
enum FaultKind {
    /** SIGTERM, and a new process some time after the end. */
    HOST_STOP(Victim.HOST, 3, 50, 1_500),
    /** SIGKILL, and a new process some time later. */
    HOST_KILL(Victim.HOST, 4, 50, 1_500),
    /** SIGSTOP, and SIGCONT some time later. */
    HOST_PAUSE(Victim.HOST, 4, 100, 3_000),
    /** Every connection of the host with store, targets and peers is closed, and new ones too. */
    HOST_CUT(Victim.HOST, 3, 300, 4_000),
    /** The host is cut off from the store. */
    STORE_CUT(Victim.HOST, 2, 500, 5_000),
    /** The host is cut off from the targets. */
    TARGETS_CUT(Victim.HOST, 2, 300, 4_000),
    /** The host is cut off from its peers. */
    PEERS_CUT(Victim.HOST, 2, 300, 4_000),
    /** What the host sends is dropped, what is sent to it arrives. */
    HOST_MUTE(Victim.HOST, 2, 300, 4_000),
    /** What the host sends arrives, what is sent to it is dropped. */
    HOST_DEAF(Victim.HOST, 2, 300, 4_000),
    /** The host's open connections go silent; new ones work. */
    HOST_SILENCE(Victim.HOST, 2, 0, 0),
    /** The host's open connections are reset. */
    HOST_RESET(Victim.HOST, 2, 0, 0),
    /** What the host sends and receives is late by some tenths of a second. */
    HOST_DELAY(Victim.HOST, 2, 500, 4_000),
    /** The target crashes and is back under the same id. */
    TARGET_CRASH(Victim.TARGET, 3, 100, 3_000),
    /** The target carries orders out and breaks off instead of answering. */
    TARGET_BREAKS_OFF(Victim.TARGET, 3, 300, 3_000),
    /** The target leaves orders unanswered and carries them out late. */
    TARGET_LATE(Victim.TARGET, 4, 500, 4_000),
    /** The target refuses every start. */
    TARGET_REFUSES(Victim.TARGET, 1, 300, 3_000),
    /** The target's tasks fail at once. */
    TARGET_FAILS(Victim.TARGET, 1, 300, 3_000),
    /** The target's tasks stand still. */
    TARGET_HANGS(Victim.TARGET, 1, 300, 3_000),
    /** The target's tasks last longer. */
    TARGET_SLOW(Victim.TARGET, 2, 500, 4_000),
    /** The target reports that it drains. */
    TARGET_DRAINS(Victim.TARGET, 1, 500, 4_000),
    /** The store refuses every call. */
    STORE_DOWN(Victim.STORE, 2, 500, 5_000),
    /** The store answers late. */
    STORE_SLOW(Victim.STORE, 1, 500, 4_000),
    /** The store does what it is asked and breaks off instead of answering. */
    STORE_BREAKS_OFF(Victim.STORE, 2, 300, 3_000),
    /** The store forgets the history of its topics. */
    STORE_FORGETS(Victim.STORE, 1, 0, 0),
    /** A new version of the configuration. */
    CONFIG_CHANGE(Victim.NOTHING, 2, 0, 0),
    /** Callers send three times as much. */
    BURST(Victim.NOTHING, 2, 300, 1_500);

    /** What a fault may be done to. */
    enum Victim {
        HOST,
        TARGET,
        STORE,
        NOTHING
    }

    private final Victim victim;
    private final int weight;
    private final int minMs;
    private final int maxMs;

    FaultKind(Victim victim, int weight, int minMs, int maxMs) {
        this.victim = victim;
        this.weight = weight;
        this.minMs = minMs;
        this.maxMs = maxMs;
    }

    Victim victim() {
        return victim;
    }

    /** Returns its share among all faults, against the other weights. */
    int weight() {
        return weight;
    }

    int minMs() {
        return minMs;
    }

    int maxMs() {
        return maxMs;
    }
}
