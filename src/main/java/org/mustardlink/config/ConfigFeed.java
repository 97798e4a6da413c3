package org.mustardlink.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.http.Json;
import org.mustardlink.platform.LogPage;
import org.mustardlink.platform.LogService;

/** Follows the {@code config} stream of the log and reports the declared targets after each change. */
public final class ConfigFeed implements AutoCloseable {
    /** Stream that operators publish configuration to. */
    public static final String STREAM = "config";

    private static final int BATCH = 500;
    private static final Duration WAIT = Duration.ofSeconds(5);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    private final LogService log;
    private final Consumer<ImmutableList<TargetSpec>> listener;
    private final Map<String, TargetSpec> targets = new LinkedHashMap<>();
    private long rejected;
    private volatile boolean closed;

    private ConfigFeed(LogService log, Consumer<ImmutableList<TargetSpec>> listener) {
        this.log = log;
        this.listener = listener;
    }

    /** Starts to follow the log from its start. */
    public static ConfigFeed start(LogService log, Consumer<ImmutableList<TargetSpec>> listener) {
        ConfigFeed feed = new ConfigFeed(log, listener);
        feed.readFrom(0);
        return feed;
    }

    /**
     * A configuration record.
     *
     * @param schema schema version
     * @param change id of the change
     * @param kind kind of the entity
     * @param name name of the entity
     * @param body the entity
     */
    public record TargetRecord(int schema, String change, String kind, String name, TargetSpec body) {}

    /** Returns the number of records that could not be read. */
    public long rejected() {
        return rejected;
    }

    @Override
    public void close() {
        closed = true;
    }

    private void readFrom(long offset) {
        if (closed) {
            return;
        }
        CompletableFuture<LogPage> _read = log.read(STREAM, offset, BATCH, WAIT).whenComplete((page, failure) -> {
            if (failure != null) {
                CompletableFuture.delayedExecutor(RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS)
                        .execute(() -> readFrom(offset));
                return;
            }
            apply(page);
            readFrom(page.next());
        });
    }

    private void apply(LogPage page) {
        if (page.records().isEmpty()) {
            return;
        }
        for (String text : page.records()) {
            try {
                TargetRecord parsed = Json.read(text, TargetRecord.class);
                if ("target".equals(parsed.kind())) {
                    targets.put(parsed.name(), parsed.body());
                }
            } catch (JsonProcessingException e) {
                // A record that cannot be read must not stop the ones after it.
                rejected++;
            }
        }
        listener.accept(ImmutableList.copyOf(targets.values()));
    }
}
