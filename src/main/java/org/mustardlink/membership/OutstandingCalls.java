package org.mustardlink.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The outstanding calls of this host, limited in number. */
final class OutstandingCalls {
    private final int maxCalls;
    private final Map<Long, Call> calls = new LinkedHashMap<>();
    private long lastId;

    OutstandingCalls(int maxCalls) {
        this.maxCalls = maxCalls;
    }

    /** The purpose of a call. */
    enum Purpose {
        /** An exchange with a member as part of a periodic round. */
        PERIODIC_EXCHANGE,
        /** An exchange with an address at which no live member is known. */
        DISCOVERY,
        /** An exchange by which this host itself probes a member that did not answer. */
        DIRECT_PROBE,
        /** An exchange by which this host checks a member at the request of another member. */
        CHECK_FOR_PEER,
        /** An exchange that announces a leave. */
        LEAVE_ANNOUNCEMENT,
        /** A request to another member to check a host. */
        CHECK_REQUEST
    }

    /**
     * An outstanding call.
     *
     * @param purpose purpose of the call
     * @param host id of the host that is called or checked, empty if not known
     * @param incarnation expected incarnation of the host, 0 if not known
     * @param address address that is called, {@code ip:port}
     * @param helper id of the member that is asked for a check, empty for other purposes
     * @param token handle of the request, or id of the probe, that caused the call, else 0
     * @param startTime when the call was made, in nanoseconds
     */
    record Call(
            Purpose purpose, String host, long incarnation, String address, String helper, long token, long startTime) {
        /** Returns whether the call is an exchange with the host itself. */
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

    /** Returns the ids of calls made at or before a time, in ascending order. */
    List<Long> startedAtOrBefore(long time) {
        List<Long> ids = new ArrayList<>();
        calls.forEach((id, call) -> {
            if (call.startTime() - time <= 0) {
                ids.add(id);
            }
        });
        ids.sort(null);
        return ids;
    }

    /** Removes all calls and returns them in the order in which they were made. */
    List<Call> removeAll() {
        List<Call> removed = new ArrayList<>(calls.values());
        removed.sort(Comparator.comparing(Call::startTime));
        calls.clear();
        return removed;
    }
}
