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
    private static final int TAIL_RECORDS = 1024;
    private static final int TAIL_CHARACTERS = 1 << 20;

    private final Schemas schemas;
    private final Consumer<ConfigView> listener;
    private final Deque<String> tail = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private int tailCharacters;
    private ConfigState state = ConfigState.empty();
    private Optional<String> snapshot = Optional.empty();
    private ConfigView view;
    private long floor;
    private boolean hasSource;
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
    public synchronized boolean ready() {
        return ready;
    }

    /**
     * Applies consecutive records, leaving out those that it holds already.
     *
     * @param first offset of the first record
     * @return false if records are missing before them; nothing was applied then
     */
    public synchronized boolean apply(long first, List<String> records) {
        if (first > state.offset()) {
            return false;
        }
        long held = state.offset() - first;
        if (held < records.size()) {
            List<String> added = records.subList((int) held, records.size());
            added.forEach(this::keep);
            become(state.apply(added));
        }
        return true;
    }

    /**
     * Takes over a snapshot if it is newer.
     *
     * @return whether it was newer
     */
    public synchronized boolean install(ConfigState newer) {
        if (newer.offset() <= state.offset()) {
            return false;
        }
        tail.clear();
        tailCharacters = 0;
        become(newer);
        return true;
    }

    /** Notes that a host of the deployment holds the configuration up to an offset. */
    public synchronized void raiseFloor(long offset) {
        floor = Math.max(floor, offset);
    }

    /** Notes that the log was read to its end, or that a ready peer was heard. */
    public synchronized void sourceReached() {
        hasSource = true;
        checkReady();
    }

    /** Notes that every known peer was asked once. */
    public synchronized void peersAsked() {
        peersAsked = true;
        checkReady();
    }

    /** Returns what a peer lacks that holds the records below an offset. */
    public synchronized ConfigPage since(long from, String change) {
        Standing standing = standing(change);
        long first = state.offset() - tail.size();
        if (!ready || from >= state.offset()) {
            return new ConfigPage(ready, state.offset(), ImmutableList.of(), Optional.empty(), standing);
        }
        if (from < first) {
            return new ConfigPage(true, state.offset(), ImmutableList.of(), Optional.of(snapshotText()), standing);
        }
        ImmutableList<String> records = tail.stream().skip(from - first).collect(ImmutableList.toImmutableList());
        return new ConfigPage(true, state.offset(), records, Optional.empty(), standing);
    }

    /** Returns where a change stands here. */
    public synchronized Standing standing(String change) {
        Optional<Outcome> outcome = state.outcome(change);
        if (!ready || outcome.isEmpty()) {
            return Standing.UNKNOWN;
        }
        if (!outcome.get().accepted()) {
            return Standing.REJECTED;
        }
        boolean unsupported = view.unsupported().keySet().stream()
                .anyMatch(key -> state.find(key).map(Entity::change).equals(Optional.of(change)));
        return unsupported ? Standing.UNSUPPORTED : Standing.IN_FORCE;
    }

    /** Returns what log order would decide about a change if it came next. */
    public synchronized Outcome preview(Change change) {
        return state.preview(change);
    }

    /** Completes once the state meets a condition. The caller bounds the wait. */
    public synchronized CompletableFuture<ConfigState> await(Predicate<ConfigState> condition) {
        if (condition.test(state)) {
            return CompletableFuture.completedFuture(state);
        }
        CompletableFuture<ConfigState> done = new CompletableFuture<>();
        waiters.add(new Waiter(condition, done));
        return done;
    }

    private void become(ConfigState next) {
        state = next;
        snapshot = Optional.empty();
        view = ConfigView.of(state, schemas);
        if (ready) {
            listener.accept(view);
        } else {
            checkReady();
        }
        List<Waiter> met = waiters.stream()
                .filter(waiter -> waiter.done().isDone() || waiter.condition().test(next))
                .toList();
        waiters.removeAll(met);
        // What follows a completed wait must not run under the lock.
        met.forEach(waiter -> waiter.done().completeAsync(() -> next, ForkJoinPool.commonPool()));
    }

    private void checkReady() {
        if (!ready && hasSource && peersAsked && state.offset() >= floor) {
            ready = true;
            listener.accept(view);
        }
    }

    private void keep(String record) {
        tail.addLast(record);
        tailCharacters += record.length();
        while (tail.size() > TAIL_RECORDS || tailCharacters > TAIL_CHARACTERS) {
            tailCharacters -= tail.removeFirst().length();
        }
    }

    private String snapshotText() {
        if (snapshot.isEmpty()) {
            snapshot = Optional.of(Snapshots.write(state));
        }
        return snapshot.get();
    }
}
