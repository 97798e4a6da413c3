package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.mustardlink.api.OperatorApi;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/** The operators' read-only paths: health, readiness, metrics, the status document and the HTML page. */
public final class OperatorPages {
    private static final String TEXT = "text/plain";
    private static final String HTML = "text/html; charset=utf-8";

    private final EntrySettings settings;
    private final long incarnation;
    private final EntryObserver observer;
    private final MetricsText metrics;
    private final BooleanSupplier leaving;
    private final Instant started = Instant.now();
    private final Map<String, Supplier<?>> sections = new ConcurrentSkipListMap<>();

    private OperatorPages(EntrySettings settings, long incarnation, EntryObserver observer, BooleanSupplier leaving) {
        this.settings = checkNotNull(settings, "settings");
        this.incarnation = incarnation;
        this.observer = checkNotNull(observer, "observer");
        this.leaving = checkNotNull(leaving, "leaving");
        this.metrics = MetricsText.of(observer.metrics());
        section("targets", observer::targets);
        section("metrics", metrics::json);
    }

    /**
     * Creates the pages of one entry host.
     *
     * @param settings its settings
     * @param incarnation its incarnation
     * @param observer what it has seen
     * @param leaving whether a planned stop has begun
     */
    public static OperatorPages create(
            EntrySettings settings, long incarnation, EntryObserver observer, BooleanSupplier leaving) {
        return new OperatorPages(settings, incarnation, observer, leaving);
    }

    /**
     * Adds a part to the status document.
     *
     * @param name field of the document
     * @param value thread-safe source of a value that can be written as JSON
     */
    public void section(String name, Supplier<?> value) {
        checkArgument(sections.putIfAbsent(name, value) == null, "section is registered already: %s", name);
    }

    /** Registers every path. */
    public void registerAt(OperatorApi api) {
        get(api, "/health", this::health);
        get(api, "/ready", this::ready);
        get(api, "/metrics", () -> new OperatorApi.Reply(200, MetricsText.PROMETHEUS_TYPE, metrics.prometheus()));
        get(api, "/metrics.json", () -> OperatorApi.Reply.json(metrics.json()));
        get(api, "/status", () -> OperatorApi.Reply.json(status()));
        String page = page();
        get(api, "/", () -> new OperatorApi.Reply(200, HTML, page));
    }

    private static void get(OperatorApi api, String path, Supplier<OperatorApi.Reply> reply) {
        OperatorApi _registered = api.route(path, call -> {
            if (!call.method().equals("GET")) {
                throw new CodedException(ErrorCode.NOT_FOUND, "only GET is known for " + path);
            }
            return CompletableFuture.completedFuture(reply.get());
        });
    }

    private OperatorApi.Reply health() {
        return leaving.getAsBoolean()
                ? new OperatorApi.Reply(503, TEXT, "leaving")
                : new OperatorApi.Reply(200, TEXT, "ok");
    }

    private OperatorApi.Reply ready() {
        if (leaving.getAsBoolean()) {
            return new OperatorApi.Reply(503, TEXT, "leaving");
        }
        return observer.configured()
                ? new OperatorApi.Reply(200, TEXT, "ready")
                : new OperatorApi.Reply(503, TEXT, "no configuration yet");
    }

    private Map<String, Object> status() {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put(
                "host",
                ImmutableMap.of(
                        "id", settings.id(),
                        "domain", settings.domain(),
                        "region", settings.region(),
                        "incarnation", Long.toString(incarnation),
                        "started", started.toString(),
                        "leaving", leaving.getAsBoolean(),
                        "ready", observer.configured() && !leaving.getAsBoolean(),
                        "platformReachable", observer.platformReachable()));
        sections.forEach((name, value) -> document.put(name, value.get()));
        return document;
    }

    private static String page() {
        try {
            return Resources.toString(
                    Resources.getResource(OperatorPages.class, "operators.html"), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "the operators' page cannot be read", e);
        }
    }
}
