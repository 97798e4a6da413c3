package org.mustardlink.config.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.mustardlink.config.records.Outcome;

/**
 * What became of an operator's change.
 *
 * @param change id of the change
 * @param result what became of it
 * @param code code of a rejection, empty otherwise
 * @param winner change that it lost to, empty if none is known
 * @param message what was wrong, empty for success
 * @param offset offset of its record, -1 if it is not known to be in the log
 * @param hosts where it stands
 * @param warnings warnings that the change causes
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

    /** What became of a change. */
    public enum Result {
        /** In force on every host that could be asked. */
        IN_FORCE,
        /** Accepted, and at least one host that could be asked does not have it yet. */
        PARTIAL,
        /** Rejected; it never takes effect. */
        REJECTED,
        /** Not known to be in the log; trying again with the same change id is safe and settles it. */
        UNSETTLED,
        /** Certainly not in the log. */
        NOT_APPENDED,
        /** The host that was asked has no configuration yet. */
        NOT_READY
    }

    /**
     * Where an accepted change stands, by host id.
     *
     * @param inForce hosts that have it in force
     * @param behind hosts that do not have it yet
     * @param unsupported hosts whose version cannot act on it
     * @param unreachable hosts that could not be asked
     */
    public record Hosts(
            ImmutableList<String> inForce,
            ImmutableList<String> behind,
            ImmutableList<String> unsupported,
            ImmutableList<String> unreachable) {
        /** Returns no host. */
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

    /** Returns the outcome of a rejected change from its code. */
    static ApplyResult rejected(String change, Enum<?> code, String message) {
        return new ApplyResult(change, Result.REJECTED, code.name(), "", message, -1, Hosts.none(), ImmutableList.of());
    }

    /** Returns the winner of a conflict, if it is known. */
    public Optional<String> knownWinner() {
        return winner.isEmpty() ? Optional.empty() : Optional.of(winner);
    }
}
