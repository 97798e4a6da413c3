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

/** The read-only paths for operators: health, readiness, metrics, the status document and the HTML page. */
public final class OperatorPages {
    private static final String TEXT_TYPE = "text/plain";
    private static final String HTML_TYPE = "text/html; charset=utf-8";

    private final EntrySettings settings;
    private final long incarnation;
    private final EntryObserver observer;
    private final MetricsExporter metrics;
    private final BooleanSupplier isLeaving;
    private final BooleanSupplier isConfigured;
    private final Instant startTime = Instant.now();
    private final Map<String, Supplier<?>> sections = new ConcurrentSkipListMap<>();

    private OperatorPages(
            EntrySettings settings,
            long incarnation,
            EntryObserver observer,
            BooleanSupplier isLeaving,
            BooleanSupplier isConfigured) {
        this.isConfigured = checkNotNull(isConfigured, "configured");
        this.settings = checkNotNull(settings, "settings");
        this.incarnation = incarnation;
        this.observer = checkNotNull(observer, "observer");
        this.isLeaving = checkNotNull(isLeaving, "leaving");
        this.metrics = MetricsExporter.of(observer.metrics());
        addSection("targets", observer::targetSummaries);
        addSection("metrics", metrics::toJson);
    }

    /**
     * Creates the pages of one entry host.
     *
     * @param settings settings of the host
     * @param incarnation incarnation of the host
     * @param observer source of the metrics and target statistics
     * @param isLeaving tells whether a planned stop has begun
     * @param isConfigured tells whether a configuration is in force
     */
    public static OperatorPages create(
            EntrySettings settings,
            long incarnation,
            EntryObserver observer,
            BooleanSupplier isLeaving,
            BooleanSupplier isConfigured) {
        return new OperatorPages(settings, incarnation, observer, isLeaving, isConfigured);
    }

    /**
     * Adds a section to the status document.
     *
     * @param name field of the document that holds the section
     * @param value thread-safe source of a value that can be written as JSON
     */
    public void addSection(String name, Supplier<?> value) {
        checkArgument(sections.putIfAbsent(name, value) == null, "status section is already registered: %s", name);
    }

    /** Registers all paths at the API. */
    public void registerRoutes(OperatorApi api) {
        registerGet(api, "/health", this::newHealthReply);
        registerGet(api, "/ready", this::newReadinessReply);
        registerGet(
                api,
                "/metrics",
                () -> new OperatorApi.Reply(200, MetricsExporter.PROMETHEUS_CONTENT_TYPE, metrics.toPrometheusText()));
        registerGet(api, "/metrics.json", () -> OperatorApi.Reply.json(metrics.toJson()));
        registerGet(api, "/status", () -> OperatorApi.Reply.json(newStatusDocument()));
        String page = loadPage();
        registerGet(api, "/", () -> new OperatorApi.Reply(200, HTML_TYPE, page));
    }

    private static void registerGet(OperatorApi api, String path, Supplier<OperatorApi.Reply> reply) {
        OperatorApi _registered = api.route(path, call -> {
            if (!call.method().equals("GET")) {
                throw new CodedException(ErrorCode.NOT_FOUND, "only GET is supported on " + path);
            }
            return CompletableFuture.completedFuture(reply.get());
        });
    }

    private OperatorApi.Reply newHealthReply() {
        return isLeaving.getAsBoolean()
                ? new OperatorApi.Reply(503, TEXT_TYPE, "leaving")
                : new OperatorApi.Reply(200, TEXT_TYPE, "ok");
    }

    private OperatorApi.Reply newReadinessReply() {
        if (isLeaving.getAsBoolean()) {
            return new OperatorApi.Reply(503, TEXT_TYPE, "leaving");
        }
        return isConfigured.getAsBoolean()
                ? new OperatorApi.Reply(200, TEXT_TYPE, "ready")
                : new OperatorApi.Reply(503, TEXT_TYPE, "no configuration yet");
    }

    private Map<String, Object> newStatusDocument() {
        Map<String, Object> document = new LinkedHashMap<>();
        document.put(
                "host",
                ImmutableMap.of(
                        "id", settings.id(),
                        "domain", settings.domain(),
                        "region", settings.region(),
                        "incarnation", Long.toString(incarnation, Character.MAX_RADIX),
                        "started", startTime.toString(),
                        "leaving", isLeaving.getAsBoolean(),
                        "ready", isConfigured.getAsBoolean() && !isLeaving.getAsBoolean(),
                        "platformReachable", observer.isPlatformReachable()));
        sections.forEach((name, value) -> document.put(name, value.get()));
        return document;
    }

    private static String loadPage() {
        try {
            return Resources.toString(
                    Resources.getResource(OperatorPages.class, "operators.html"), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CodedException(ErrorCode.INTERNAL, "cannot read the resource operators.html", e);
        }
    }
}
