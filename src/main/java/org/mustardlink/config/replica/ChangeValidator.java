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

/** Checks made on a change before it is appended. */
final class ChangeValidator {
    private final Schemas schemas;

    ChangeValidator(Schemas schemas) {
        this.schemas = schemas;
    }

    /** Returns why a change must not be appended, if there is a reason that later records cannot remove. */
    Optional<Outcome> findRejection(ConfigState state, Change change) {
        if (!schemas.isWritable(change.schema())) {
            return Optional.of(rejection(
                    state,
                    change,
                    change.schema() < schemas.current() ? RejectionCode.SCHEMA_TOO_OLD : RejectionCode.UNSUPPORTED,
                    "schema " + change.schema() + " is not accepted by version " + schemas.current()));
        }
        Outcome preview = state.preview(change);
        if (!preview.isAccepted()) {
            return Optional.of(preview).filter(outcome -> isFinal(state, change, outcome));
        }
        return findUnsupported(state, change);
    }

    /** Returns the warnings that a change adds. */
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

    // A host that lags behind sees a conflict where the log has none; one based on an older revision is certain.
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
