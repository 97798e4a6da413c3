package org.mustardlink.pool;

/** What the answer to an order, or the lack of one, says about its effect. */
public enum OrderVerdict {
    /** The target carried the order out, now or earlier. */
    DONE(false),
    /** The target knows a higher fencing token and did nothing. */
    FENCED(false),
    /** The target has seen this run or a later one end and did nothing. */
    OLD(false),
    /** The lease in the order was already over; the target did nothing. */
    LATE(false),
    /** The target has no room and did nothing. */
    NO_ROOM(false),
    /** The target rejected the order as malformed and did nothing. */
    REJECTED(false),
    /** The target is unhealthy and did nothing. */
    UNHEALTHY(false),
    /** Another life of the target answered and did nothing. */
    OTHER_INSTANCE(false),
    /** No connection; the order was not sent. */
    NOT_SENT(false),
    /** No answer: the order may have been carried out, or may be later. */
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
