package org.mustardlink.pool;

/** What the response to an order, or the lack of a response, tells about the effect of the order. */
public enum OrderVerdict {
    /** The target has executed the order, now or earlier. */
    DONE(false),
    /** The target didn't execute the order: it has seen a higher fencing token. */
    FENCED(false),
    /** The target didn't execute the order: this run, or a later one of the task, has already ended there. */
    OLD(false),
    /** The target didn't execute the order: the lease in it had already expired. */
    LATE(false),
    /** The target didn't execute the order: it has too little free capacity. */
    NO_ROOM(false),
    /** The target didn't execute the order: it rejected it as malformed. */
    REJECTED(false),
    /** The target didn't execute the order: it is unhealthy. */
    UNHEALTHY(false),
    /** Another instance of the target received the order and didn't execute it. */
    OTHER_INSTANCE(false),
    /** The order wasn't sent, because no connection could be opened. */
    NOT_SENT(false),
    /** No usable response: the order may have been executed, or may still be. */
    UNKNOWN(true);

    private final boolean mayTakeEffect;

    OrderVerdict(boolean mayTakeEffect) {
        this.mayTakeEffect = mayTakeEffect;
    }

    /** Returns whether the order may still take effect after this verdict. */
    public boolean mayTakeEffect() {
        return mayTakeEffect;
    }
}
