package org.mustardlink.config.replica;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ForkJoinPool;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.mustardlink.config.records.Change;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.ConfigView;
import org.mustardlink.config.records.Entity;
import org.mustardlink.config.records.Outcome;
import org.mustardlink.config.records.Schemas;
import org.mustardlink.config.records.Snapshots;

/**
 * The replica of the configuration on one host. The offset of a replica never decreases. Thread-safe.
 *
 * <p>The replica becomes ready, and starts to notify its listener, once it is up to date with all sources that it can
 * reach: the log was read to its end or a ready peer responded, every known peer was queried, and no peer that responded
 * has a higher offset.
 */
public final class ConfigReplica {
    private static final int MAX_RECENT_RECORDS = 1024;
    private static final int MAX_RECENT_CHARACTERS = 1 << 20;

    private final Schemas schemas;
    private final Consumer<ConfigView> listener;
    private final Deque<String> recentRecords = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private int recentCharacters;
    private ConfigState state = ConfigState.empty();
    private Optional<String> cachedSnapshotText = Optional.empty();
    private ConfigView view;
    private long minReadyOffset;
    private boolean hasCompleteSource;
    private boolean peersQueried;
    private boolean ready;

    /**
     * Creates an empty replica.
     *
     * @param schemas schema versions and features that this host supports
     * @param listener called with the view to act on when the replica becomes ready and after each later change; called with
     *     the lock held, so it must not block
     */
    public ConfigReplica(Schemas schemas, Consumer<ConfigView> listener) {
        this.schemas = checkNotNull(schemas, "schemas");
        this.listener = checkNotNull(listener, "listener");
        this.view = ConfigView.of(state, schemas);
    }

    private record Waiter(Predicate<ConfigState> condition, CompletableFuture<ConfigState> done) {}

    /** Returns the current state. */
    public synchronized ConfigState state() {
        return state;
    }

    /** Returns the view of the current state that this host acts on. */
    public synchronized ConfigView view() {
        return view;
    }

    /** Returns the offset of the first record that is not applied yet. */
    public synchronized long offset() {
        return state.offset();
    }

    /** Returns whether the replica is up to date, so that the host may serve. */
    public synchronized boolean isReady() {
        return ready;
    }

    /**
     * Applies consecutive records, skipping those that were already applied.
     *
     * @param firstOffset offset of the first record
     * @return false if records before the first one are missing, in which case nothing was applied
     */
    public synchronized boolean apply(long firstOffset, List<String> records) {
        if (firstOffset > state.offset()) {
            return false;
        }
        long alreadyApplied = state.offset() - firstOffset;
        if (alreadyApplied < records.size()) {
            List<String> newRecords = records.subList((int) alreadyApplied, records.size());
            newRecords.forEach(this::addRecentRecord);
            replaceState(state.apply(newRecords));
        }
        return true;
    }

    /**
     * Replaces the state by a snapshot if the snapshot is newer.
     *
     * @return whether the snapshot was newer
     */
    public synchronized boolean installSnapshot(ConfigState snapshot) {
        if (snapshot.offset() <= state.offset()) {
            return false;
        }
        recentRecords.clear();
        recentCharacters = 0;
        replaceState(snapshot);
        return true;
    }

    /** Raises the offset that the replica must reach to become ready, because another host has already reached it. */
    public synchronized void raiseMinReadyOffset(long offset) {
        minReadyOffset = Math.max(minReadyOffset, offset);
    }

    /** Records that the log was read to its end, or that a ready peer responded. */
    public synchronized void markSourceComplete() {
        hasCompleteSource = true;
        updateReadiness();
    }

    /** Records that every known peer was queried at least once. */
    public synchronized void markPeersQueried() {
        peersQueried = true;
        updateReadiness();
    }

    /** Returns the page of configuration for a peer that has applied the records before an offset. */
    public synchronized ConfigPage pageSince(long from, String changeId) {
        ChangeStatus status = changeStatus(changeId);
        long firstRecentOffset = state.offset() - recentRecords.size();
        if (!ready || from >= state.offset()) {
            return new ConfigPage(ready, state.offset(), ImmutableList.of(), Optional.empty(), status);
        }
        if (from < firstRecentOffset) {
            return new ConfigPage(true, state.offset(), ImmutableList.of(), Optional.of(snapshotText()), status);
        }
        ImmutableList<String> records =
                recentRecords.stream().skip(from - firstRecentOffset).collect(ImmutableList.toImmutableList());
        return new ConfigPage(true, state.offset(), records, Optional.empty(), status);
    }

    /** Returns the status of a change on this host. */
    public synchronized ChangeStatus changeStatus(String changeId) {
        Optional<Outcome> outcome = state.outcome(changeId);
        if (!ready || outcome.isEmpty()) {
            return ChangeStatus.UNKNOWN;
        }
        if (!outcome.get().isAccepted()) {
            return ChangeStatus.REJECTED;
        }
        boolean unsupported = view.unsupported().keySet().stream()
                .anyMatch(key -> state.find(key).map(Entity::changeId).equals(Optional.of(changeId)));
        return unsupported ? ChangeStatus.UNSUPPORTED : ChangeStatus.IN_FORCE;
    }

    /** Returns the outcome that a change would have as the next record. */
    public synchronized Outcome preview(Change change) {
        return state.preview(change);
    }

    /** Returns a future that completes when the state meets a condition. It has no timeout of its own. */
    public synchronized CompletableFuture<ConfigState> awaitState(Predicate<ConfigState> condition) {
        if (condition.test(state)) {
            return CompletableFuture.completedFuture(state);
        }
        CompletableFuture<ConfigState> done = new CompletableFuture<>();
        waiters.add(new Waiter(condition, done));
        return done;
    }

    private void replaceState(ConfigState newState) {
        state = newState;
        cachedSnapshotText = Optional.empty();
        view = ConfigView.of(state, schemas);
        if (ready) {
            listener.accept(view);
        } else {
            updateReadiness();
        }
        List<Waiter> completedWaiters = waiters.stream()
                .filter(waiter -> waiter.done().isDone() || waiter.condition().test(newState))
                .toList();
        waiters.removeAll(completedWaiters);
        // Complete on another thread, so that dependent stages do not run while the lock is held.
        completedWaiters.forEach(waiter -> waiter.done().completeAsync(() -> newState, ForkJoinPool.commonPool()));
    }

    private void updateReadiness() {
        if (!ready && hasCompleteSource && peersQueried && state.offset() >= minReadyOffset) {
            ready = true;
            listener.accept(view);
        }
    }

    private void addRecentRecord(String record) {
        recentRecords.addLast(record);
        recentCharacters += record.length();
        while (recentRecords.size() > MAX_RECENT_RECORDS || recentCharacters > MAX_RECENT_CHARACTERS) {
            recentCharacters -= recentRecords.removeFirst().length();
        }
    }

    private String snapshotText() {
        if (cachedSnapshotText.isEmpty()) {
            cachedSnapshotText = Optional.of(Snapshots.write(state));
        }
        return cachedSnapshotText.get();
    }
}
