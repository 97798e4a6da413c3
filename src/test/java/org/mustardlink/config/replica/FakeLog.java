package org.mustardlink.config.replica;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.mustardlink.directory.LogPage;
import org.mustardlink.directory.LogService;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/** An in-memory log that responds immediately and never waits for new records. */
final class FakeLog implements LogService {
    private final Map<String, List<String>> streams = new HashMap<>();
    private final Map<String, Integer> earliest = new HashMap<>();
    private boolean down;
    private boolean losesAnswers;

    void setDown(boolean isDown) {
        down = isDown;
    }

    void setLosesAnswers(boolean isLosing) {
        losesAnswers = isLosing;
    }

    void expire(String stream, long before) {
        earliest.merge(stream, (int) Math.min(before, records(stream).size()), Math::max);
    }

    List<String> records(String stream) {
        return streams.computeIfAbsent(stream, _unused -> new ArrayList<>());
    }

    @Override
    public CompletableFuture<Long> append(String stream, ImmutableList<String> records) {
        if (down) {
            return failed(ErrorCode.NOT_SENT);
        }
        long first = records(stream).size();
        records(stream).addAll(records);
        return losesAnswers ? failed(ErrorCode.NO_ANSWER) : CompletableFuture.completedFuture(first);
    }

    @Override
    public CompletableFuture<LogPage> read(String stream, long from, int max, Duration _wait) {
        if (down) {
            return failed(ErrorCode.PLATFORM_ERROR);
        }
        int low = earliest.getOrDefault(stream, 0);
        int end = records(stream).size();
        int first = (int) Math.min(Math.max(from, low), end);
        int next = Math.min(first + max, end);
        ImmutableList<String> records = ImmutableList.copyOf(records(stream).subList(first, next));
        return CompletableFuture.completedFuture(new LogPage(first, records, next, low, end));
    }

    private static <T> CompletableFuture<T> failed(ErrorCode code) {
        return CompletableFuture.failedFuture(new CodedException(code, "fault"));
    }
}
