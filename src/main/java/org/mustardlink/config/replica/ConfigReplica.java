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
 * A host's copy of the configuration. Its offset never goes back. Thread-safe.
 *
 * <p>It is ready, and tells its listener what to act on, once it holds the newest of the sources it can reach: it read
 * the log to its end or heard from a ready peer, every known peer was asked, and no peer that answered is ahead of it.
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
    private boolean peersAsked;
    private boolean ready;

    /**
     * Creates an empty copy.
     *
     * @param schemas what this host understands
     * @param listener told what to act on after each change once the copy is ready; called under a lock, must not block
     */
    public ConfigReplica(Schemas schemas, Consumer<ConfigView> listener) {
        this.schemas = checkNotNull(schemas, "schemas");
        this.listener = checkNotNull(listener, "listener");
        this.view = ConfigView.of(state, schemas);
    }

    private record Waiter(Predicate<ConfigState> condition, CompletableFuture<ConfigState> done) {}

    /** Returns the state. */
    public synchronized ConfigState state() {
        return state;
    }

    /** Returns what this host acts on. */
    public synchronized ConfigView view() {
        return view;
    }

    /** Returns the offset of the first record that it does not hold. */
    public synchronized long offset() {
        return state.offset();
    }

    /** Returns whether it may serve. */
    public synchronized boolean isReady() {
        return ready;
    }

    /**
     * Applies consecutive records, leaving out those that it holds already.
     *
     * @param firstOffset offset of the first record
     * @return false if records are missing before them; nothing was applied then
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
     * Takes over a snapshot if it is newer.
     *
     * @return whether it was newer
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

    /** Notes that a host of the deployment holds the configuration up to an offset. */
    public synchronized void raiseMinReadyOffset(long offset) {
        minReadyOffset = Math.max(minReadyOffset, offset);
    }

    /** Notes that the log was read to its end, or that a ready peer was heard. */
    public synchronized void markSourceComplete() {
        hasCompleteSource = true;
        updateReadiness();
    }

    /** Notes that every known peer was asked once. */
    public synchronized void markPeersQueried() {
        peersAsked = true;
        updateReadiness();
    }

    /** Returns what a peer lacks that holds the records below an offset. */
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

    /** Returns where a change stands here. */
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

    /** Returns what log order would decide about a change if it came next. */
    public synchronized Outcome preview(Change change) {
        return state.preview(change);
    }

    /** Completes once the state meets a condition. The caller bounds the wait. */
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
        // What follows a completed wait must not run under the lock.
        completedWaiters.forEach(waiter -> waiter.done().completeAsync(() -> newState, ForkJoinPool.commonPool()));
    }

    private void updateReadiness() {
        if (!ready && hasCompleteSource && peersAsked && state.offset() >= minReadyOffset) {
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
