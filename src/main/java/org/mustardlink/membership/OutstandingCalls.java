package org.mustardlink.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Calls under way, at most a set number. */
final class OutstandingCalls {
    private final int maxCalls;
    private final Map<Long, Call> calls = new LinkedHashMap<>();
    private long lastId;

    OutstandingCalls(int max) {
        this.maxCalls = max;
    }

    /** Why a call is made. */
    enum Purpose {
        /** The regular exchange with a member. */
        PERIODIC_EXCHANGE,
        /** An exchange with an address behind which no live member is known. */
        DISCOVERY,
        /** A second call to a member that did not answer. */
        DIRECT_PROBE,
        /** A call to a member on behalf of another one. */
        CHECK_FOR_PEER,
        /** An exchange that announces a leave. */
        LEAVE_ANNOUNCEMENT,
        /** A request to another member to call a host. */
        CHECK_REQUEST
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
     * @param startTime when it was made, in nanoseconds
     */
    record Call(
            Purpose purpose, String host, long incarnation, String address, String helper, long token, long startTime) {
        /** Returns whether the call is an exchange with the host in question. */
        boolean isExchange() {
            return purpose != Purpose.CHECK_REQUEST;
        }
    }

    boolean isFull() {
        return calls.size() >= maxCalls;
    }

    long add(Call call) {
        calls.put(++lastId, call);
        return lastId;
    }

    Optional<Call> remove(long id) {
        return Optional.ofNullable(calls.remove(id));
    }

    boolean hasExchangeWith(String address) {
        return calls.values().stream()
                .anyMatch(call -> call.isExchange() && call.address().equals(address));
    }

    boolean hasCall(long token, Purpose purpose) {
        return calls.values().stream().anyMatch(call -> call.purpose() == purpose && call.token() == token);
    }

    /** Returns calls made at or before a time; their results are overdue. */
    List<Long> startedAtOrBefore(long time) {
        List<Long> overdue = new ArrayList<>();
        calls.forEach((id, call) -> {
            if (call.startTime() - time <= 0) {
                overdue.add(id);
            }
        });
        overdue.sort(null);
        return overdue;
    }

    /** Forgets every call and returns them in the order in which they were made. */
    List<Call> removeAll() {
        List<Call> drained = new ArrayList<>(calls.values());
        drained.sort(Comparator.comparing(Call::startTime));
        calls.clear();
        return drained;
    }
}
