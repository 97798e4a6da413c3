package org.mustardlink.soak;

/** What a fault is done to, and for how long. */
enum FaultKind {
    /** SIGTERM, and a new process some time after the end. */
    HOST_STOP(VictimKind.HOST, 3, 50, 1_500),
    /** SIGKILL, and a new process some time later. */
    HOST_KILL(VictimKind.HOST, 4, 50, 1_500),
    /** SIGSTOP, and SIGCONT some time later. */
    HOST_PAUSE(VictimKind.HOST, 4, 100, 3_000),
    /** Every connection of the host with store, targets and peers is closed, and new ones too. */
    HOST_CUT(VictimKind.HOST, 3, 300, 4_000),
    /** The host is cut off from the store. */
    STORE_CUT(VictimKind.HOST, 2, 500, 5_000),
    /** The host is cut off from the targets. */
    TARGETS_CUT(VictimKind.HOST, 2, 300, 4_000),
    /** The host is cut off from its peers. */
    PEERS_CUT(VictimKind.HOST, 2, 300, 4_000),
    /** What the host sends is dropped, what is sent to it arrives. */
    HOST_MUTE(VictimKind.HOST, 2, 300, 4_000),
    /** What the host sends arrives, what is sent to it is dropped. */
    HOST_DEAF(VictimKind.HOST, 2, 300, 4_000),
    /** The host's open connections go silent; new ones work. */
    HOST_SILENCE(VictimKind.HOST, 2, 0, 0),
    /** The host's open connections are reset. */
    HOST_RESET(VictimKind.HOST, 2, 0, 0),
    /** What the host sends and receives is late by some tenths of a second. */
    HOST_DELAY(VictimKind.HOST, 2, 500, 4_000),
    /** The target crashes and is back under the same id. */
    TARGET_CRASH(VictimKind.TARGET, 3, 100, 3_000),
    /** The target carries orders out and breaks off instead of answering. */
    TARGET_BREAKS_OFF(VictimKind.TARGET, 3, 300, 3_000),
    /** The target leaves orders unanswered and carries them out late. */
    TARGET_LATE(VictimKind.TARGET, 4, 500, 4_000),
    /** The target refuses every start. */
    TARGET_REFUSES(VictimKind.TARGET, 1, 300, 3_000),
    /** The target's tasks fail at once. */
    TARGET_FAILS(VictimKind.TARGET, 1, 300, 3_000),
    /** The target's tasks stand still. */
    TARGET_HANGS(VictimKind.TARGET, 1, 300, 3_000),
    /** The target's tasks last longer. */
    TARGET_SLOW(VictimKind.TARGET, 2, 500, 4_000),
    /** The target reports that it drains. */
    TARGET_DRAINS(VictimKind.TARGET, 1, 500, 4_000),
    /** The store refuses every call. */
    STORE_DOWN(VictimKind.STORE, 2, 500, 5_000),
    /** The store answers late. */
    STORE_SLOW(VictimKind.STORE, 1, 500, 4_000),
    /** The store does what it is asked and breaks off instead of answering. */
    STORE_BREAKS_OFF(VictimKind.STORE, 2, 300, 3_000),
    /** The store forgets the history of its topics. */
    STORE_FORGETS(VictimKind.STORE, 1, 0, 0),
    /** A new version of the configuration. */
    CONFIG_CHANGE(VictimKind.NOTHING, 2, 0, 0),
    /** Callers send three times as much. */
    BURST(VictimKind.NOTHING, 2, 300, 1_500);

    /** What a fault may be done to. */
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

    /** Returns its share among all faults, against the other weights. */
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
