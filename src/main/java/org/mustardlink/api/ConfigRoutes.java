package org.mustardlink.api;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Lists;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mustardlink.config.records.ConfigState;
import org.mustardlink.config.records.Entity;
import org.mustardlink.config.records.Outcome;
import org.mustardlink.config.replica.ApplyResult;
import org.mustardlink.config.replica.ConfigPublisher;
import org.mustardlink.config.replica.ConfigReplica;
import org.mustardlink.drain.DrainCause;
import org.mustardlink.drain.DrainStatus;
import org.mustardlink.drain.TargetReport;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;

/**
 * HTTP paths of the operator API for configuration and targets.
 *
 * <ul>
 *   <li>{@code GET /v1/config} - {@code {host, ready, offset, entities}}
 *   <li>{@code GET /v1/config/history?limit=} - recent changes, newest first
 *   <li>{@code POST /v1/config/preview} - validates a change without publishing it, {@link ApplyResult}
 *   <li>{@code POST /v1/config/changes} - publishes a change, {@link ApplyResult}
 *   <li>{@code GET /v1/targets} - targets drained on this host, with the causes
 *   <li>{@code GET /v1/targets/{id}} - {@link DrainStatus} of a target, over all hosts
 * </ul>
 */
public final class ConfigRoutes {
    private static final int DEFAULT_HISTORY_LIMIT = 20;
    private static final String TARGET_PREFIX = "/v1/targets/";

    private final String hostId;
    private final ConfigReplica replica;
    private final ConfigPublisher publisher;
    private final Supplier<ImmutableMap<String, DrainCause>> drainedTargets;
    private final Function<String, ImmutableMap<String, CompletableFuture<TargetReport>>> drainReports;

    /**
     * Creates the handlers of the paths.
     *
     * @param hostId id of this host
     * @param replica replica of the configuration on this host
     * @param publisher validates and publishes changes
     * @param drainedTargets returns the drained targets of this host, with the cause for each
     * @param drainReports requests a drain report on a target from every host, including this one
     */
    public ConfigRoutes(
            String hostId,
            ConfigReplica replica,
            ConfigPublisher publisher,
            Supplier<ImmutableMap<String, DrainCause>> drainedTargets,
            Function<String, ImmutableMap<String, CompletableFuture<TargetReport>>> drainReports) {
        this.hostId = hostId;
        this.replica = replica;
        this.publisher = publisher;
        this.drainedTargets = drainedTargets;
        this.drainReports = drainReports;
    }

    /** Registers every path at the operator API. */
    public void registerRoutes(OperatorApi operators) {
        operators
                .route(
                        "/v1/config",
                        call -> handleMethod("GET", call, () -> configReply().toFuture()))
                .route(
                        "/v1/config/history",
                        call -> handleMethod(
                                "GET", call, () -> historyReply(call).toFuture()))
                .route(
                        "/v1/config/preview",
                        call -> handleMethod(
                                "POST",
                                call,
                                () -> changeReply(publisher.preview(call.body()))
                                        .toFuture()))
                .route(
                        "/v1/config/changes",
                        call -> handleMethod(
                                "POST",
                                call,
                                () -> publisher.publish(call.body()).thenApply(ConfigRoutes::changeReply)))
                .route(
                        "/v1/targets",
                        call -> handleMethod(
                                "GET",
                                call,
                                () -> OperatorApi.Reply.json(ImmutableMap.of(
                                                "host", hostId, "drained", describe(drainedTargets.get())))
                                        .toFuture()))
                .route(
                        TARGET_PREFIX,
                        call -> handleMethod(
                                "GET", call, () -> drainStatusReply(call.path().substring(TARGET_PREFIX.length()))));
    }

    /**
     * The JSON document of a change in the history.
     *
     * @param change id of the change
     * @param offset offset of its record
     * @param code code of the rejection, empty if the change was accepted
     * @param winner id of the accepted change that this change conflicted with, empty if there is none
     */
    public record HistoryDocument(String change, long offset, String code, String winner) {}

    /**
     * The JSON document of a drain.
     *
     * @param source kind of cause of the drain
     * @param name name of the window or order that causes the drain
     * @param end end of the drain as an ISO 8601 instant, empty if it is open-ended
     */
    public record DrainDocument(String source, String name, String end) {}

    private static CompletableFuture<OperatorApi.Reply> handleMethod(
            String method, OperatorApi.Call call, Supplier<CompletableFuture<OperatorApi.Reply>> answer) {
        if (!call.method().equals(method)) {
            throw new CodedException(ErrorCode.NOT_FOUND, call.path() + " supports the method " + method + " only");
        }
        return answer.get();
    }

    private OperatorApi.Reply configReply() {
        ConfigState state = replica.state();
        ImmutableList<Map<String, Object>> entities =
                state.entities().values().stream().map(ConfigRoutes::describe).collect(ImmutableList.toImmutableList());
        return OperatorApi.Reply.json(ImmutableMap.of(
                "host", hostId, "ready", replica.isReady(), "offset", state.offset(), "entities", entities));
    }

    private OperatorApi.Reply historyReply(OperatorApi.Call call) {
        int limit = call.parameter("limit").map(ConfigRoutes::parseNumber).orElse(DEFAULT_HISTORY_LIMIT);
        ImmutableList<Outcome> newest = Lists.reverse(
                        replica.state().outcomes().values().asList())
                .stream()
                .limit(limit)
                .collect(ImmutableList.toImmutableList());
        return OperatorApi.Reply.json(Lists.transform(
                newest,
                outcome -> new HistoryDocument(
                        outcome.changeId(),
                        outcome.offset(),
                        outcome.code().map(Enum::name).orElse(""),
                        outcome.winningChangeId().orElse(""))));
    }

    private CompletableFuture<OperatorApi.Reply> drainStatusReply(String target) {
        boolean isDeclared =
                replica.view().targets().stream().anyMatch(spec -> spec.id().equals(target));
        if (!isDeclared) {
            throw new CodedException(ErrorCode.NOT_FOUND, "no such target: " + target);
        }
        Map<String, Optional<TargetReport>> reportsByHost = new LinkedHashMap<>();
        CompletableFuture<?>[] pendingReports = drainReports.apply(target).entrySet().stream()
                .map(entry -> entry.getValue().handle((report, _failure) -> {
                    synchronized (reportsByHost) {
                        reportsByHost.put(entry.getKey(), Optional.ofNullable(report));
                    }
                    return null;
                }))
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(pendingReports)
                .thenApply(_done -> OperatorApi.Reply.json(DrainStatus.combine(target, reportsByHost)));
    }

    private static OperatorApi.Reply changeReply(ApplyResult result) {
        int status =
                switch (result.result()) {
                    case IN_FORCE -> 200;
                    case PARTIAL, UNSETTLED -> 202;
                    case REJECTED -> 409;
                    case NOT_APPENDED, NOT_READY -> 503;
                };
        return OperatorApi.Reply.json(status, result);
    }

    private static Map<String, Object> describe(Entity entity) {
        return ImmutableMap.of(
                "kind", entity.key().kind(),
                "name", entity.key().name(),
                "revision", entity.revision(),
                "change", entity.changeId(),
                "schema", entity.newest().schema(),
                "body", entity.newest().body());
    }

    private static Map<String, DrainDocument> describe(ImmutableMap<String, DrainCause> causes) {
        return causes.entrySet().stream()
                .collect(ImmutableMap.toImmutableMap(
                        Map.Entry::getKey,
                        entry -> new DrainDocument(
                                entry.getValue().source().name(),
                                entry.getValue().name(),
                                entry.getValue().end().map(Object::toString).orElse(""))));
    }

    private static int parseNumber(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "the limit is not an integer: " + text, e);
        }
    }
}
