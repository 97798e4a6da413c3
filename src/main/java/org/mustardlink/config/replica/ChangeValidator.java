package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.Optional;
import org.mustardlink.config.records.Change;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.EntityChange;
import org.mustardlink.config.records.EntityKey;
import org.mustardlink.config.records.Outcome;
import org.mustardlink.config.records.RejectionCode;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.drain.CapacityCheck;

/** Validates changes before they are appended to the log. */
final class ChangeValidator {
    private final Schemas schemas;

    ChangeValidator(Schemas schemas) {
        this.schemas = schemas;
    }

    /** Returns the rejection of a change that must not be appended, unless records that this host lacks could lift it. */
    Optional<Outcome> findRejection(ConfigState state, Change change) {
        if (!schemas.isWritable(change.schema())) {
            return Optional.of(rejection(
                    state,
                    change,
                    change.schema() < schemas.current() ? RejectionCode.SCHEMA_TOO_OLD : RejectionCode.UNSUPPORTED,
                    "schema version " + change.schema()
                            + " cannot be written; the current schema version of this host is " + schemas.current()));
        }
        Outcome preview = state.preview(change);
        if (!preview.isAccepted()) {
            return Optional.of(preview).filter(outcome -> isFinal(state, change, outcome));
        }
        return findUnsupported(state, change);
    }

    /** Returns the warnings that a change would add to the current ones. */
    ImmutableList<String> addedWarnings(ConfigState state, Change change, Instant now) {
        ImmutableSet<String> before = ImmutableSet.copyOf(CapacityCheck.warnings(ConfigView.of(state, schemas), now));
        return CapacityCheck.warnings(ConfigView.of(stateAfter(state, change), schemas), now).stream()
                .filter(warning -> !before.contains(warning))
                .collect(ImmutableList.toImmutableList());
    }

    private Optional<Outcome> findUnsupported(ConfigState state, Change change) {
        ConfigView view = ConfigView.of(stateAfter(state, change), schemas);
        return change.entities().stream()
                .map(EntityChange::key)
                .filter(view.unsupported()::containsKey)
                .findFirst()
                .map(key -> rejection(state, change, RejectionCode.UNSUPPORTED, unsupportedReason(view, key)));
    }

    // A host that lags behind the log may see a conflict that the log does not have. A conflict is certain only if all
    // base revisions are before the offset of the host.
    private static boolean isFinal(ConfigState state, Change change, Outcome outcome) {
        boolean isConflict = outcome.code().equals(Optional.of(RejectionCode.CONFLICT));
        return !isConflict
                || change.entities().stream().noneMatch(entity -> entity.base().orElse(-1) >= state.offset());
    }

    private static ConfigState stateAfter(ConfigState state, Change change) {
        return state.apply(ImmutableList.of(change.toJson().toString()));
    }

    private static String unsupportedReason(ConfigView view, EntityKey key) {
        return key + ": " + view.unsupported().get(key);
    }

    private static Outcome rejection(ConfigState state, Change change, RejectionCode code, String message) {
        return new Outcome(change.id(), state.offset(), Optional.of(code), Optional.empty(), message);
    }
}
