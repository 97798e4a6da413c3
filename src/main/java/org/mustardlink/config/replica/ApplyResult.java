package org.mustardlink.config.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.mustardlink.config.records.Outcome;

/**
 * Result of publishing or previewing an operator's change.
 *
 * @param change id of the change
 * @param result result of the change
 * @param code reason of the rejection; empty if the change was not rejected
 * @param winner id of the change that won the conflict; empty if none is known
 * @param message description of the error; empty on success
 * @param offset offset of the record of the change; -1 if the change is not known to be in the log
 * @param hosts status of the change at each host
 * @param warnings warnings that the change adds
 */
public record ApplyResult(
        String change,
        Result result,
        String code,
        String winner,
        String message,
        long offset,
        Hosts hosts,
        ImmutableList<String> warnings) {
    public ApplyResult {
        checkNotNull(change, "change");
        checkNotNull(result, "result");
        checkNotNull(hosts, "hosts");
        checkNotNull(warnings, "warnings");
    }

    /** Result of a change. */
    public enum Result {
        /** In force on every reachable host. */
        IN_FORCE,
        /** Accepted, but not yet in force or not supported on at least one reachable host. */
        PARTIAL,
        /** Rejected; the change will never take effect. */
        REJECTED,
        /** Not known whether the change is in the log; a retry with the same change id is safe and determines the result. */
        UNSETTLED,
        /** The change is known not to be in the log. */
        NOT_APPENDED,
        /** The host that received the change has no configuration yet. */
        NOT_READY
    }

    /**
     * Ids of the hosts, by status of an accepted change.
     *
     * @param inForce hosts on which the change is in force
     * @param behind hosts that have not applied the change yet
     * @param unsupported hosts whose version cannot act on the change
     * @param unreachable hosts that did not respond
     */
    public record Hosts(
            ImmutableList<String> inForce,
            ImmutableList<String> behind,
            ImmutableList<String> unsupported,
            ImmutableList<String> unreachable) {
        /** Returns empty lists of hosts. */
        public static Hosts none() {
            return new Hosts(ImmutableList.of(), ImmutableList.of(), ImmutableList.of(), ImmutableList.of());
        }
    }

    static ApplyResult failed(String change, Result result, String message) {
        return new ApplyResult(change, result, "", "", message, -1, Hosts.none(), ImmutableList.of());
    }

    static ApplyResult rejected(Outcome outcome) {
        return new ApplyResult(
                outcome.changeId(),
                Result.REJECTED,
                outcome.code().map(Enum::name).orElse(""),
                outcome.winningChangeId().orElse(""),
                outcome.message(),
                outcome.offset(),
                Hosts.none(),
                ImmutableList.of());
    }

    static ApplyResult accepted(String change, long offset, Hosts hosts, ImmutableList<String> warnings) {
        boolean everywhere = hosts.behind().isEmpty() && hosts.unsupported().isEmpty();
        return new ApplyResult(
                change, everywhere ? Result.IN_FORCE : Result.PARTIAL, "", "", "", offset, hosts, warnings);
    }

    /** Returns the result of a change that was rejected before it was appended. */
    static ApplyResult rejected(String change, Enum<?> code, String message) {
        return new ApplyResult(change, Result.REJECTED, code.name(), "", message, -1, Hosts.none(), ImmutableList.of());
    }

    /** Returns the id of the change that won the conflict, if it is known. */
    public Optional<String> knownWinner() {
        return winner.isEmpty() ? Optional.empty() : Optional.of(winner);
    }
}
