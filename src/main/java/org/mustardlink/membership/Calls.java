package org.mustardlink.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Calls under way, at most a set number. */
final class Calls {
    private final int max;
    private final Map<Long, Call> open = new LinkedHashMap<>();
    private long next;

    Calls(int max) {
        this.max = max;
    }

    /** Why a call is made. */
    enum Purpose {
        /** The regular exchange with a member. */
        ROUND,
        /** An exchange with an address behind which no live member is known. */
        CONTACT,
        /** A second call to a member that did not answer. */
        INQUIRY,
        /** A call to a member on behalf of another one. */
        HELP,
        /** An exchange that announces a leave. */
        ANNOUNCE,
        /** A request to another member to call a host. */
        CHECK
    }

    /**
     * A call under way.
     *
     * @param purpose why it is made
     * @param host the host in question, empty if not known
     * @param incarnation its incarnation, 0 if not known
     * @param address the address called
     * @param helper the member asked for a check, else empty
     * @param token handle of the request behind the call, else 0
     * @param started when it was made, in nanoseconds
     */
    record Call(
            Purpose purpose, String host, long incarnation, String address, String helper, long token, long started) {
        /** Returns whether the call is an exchange with the host in question. */
        boolean isExchange() {
            return purpose != Purpose.CHECK;
        }
    }

    boolean full() {
        return open.size() >= max;
    }

    long add(Call call) {
        open.put(++next, call);
        return next;
    }

    Optional<Call> end(long id) {
        return Optional.ofNullable(open.remove(id));
    }

    boolean pendingTo(String address) {
        return open.values().stream()
                .anyMatch(call -> call.isExchange() && call.address().equals(address));
    }

    boolean pendingFor(long token, Purpose purpose) {
        return open.values().stream().anyMatch(call -> call.purpose() == purpose && call.token() == token);
    }

    /** Returns calls made at or before a time; their results are overdue. */
    List<Long> startedBefore(long time) {
        List<Long> overdue = new ArrayList<>();
        open.forEach((id, call) -> {
            if (call.started() - time <= 0) {
                overdue.add(id);
            }
        });
        overdue.sort(null);
        return overdue;
    }

    /** Forgets every call and returns them in the order in which they were made. */
    List<Call> drain() {
        List<Call> drained = new ArrayList<>(open.values());
        drained.sort(Comparator.comparing(Call::started));
        open.clear();
        return drained;
    }
}
