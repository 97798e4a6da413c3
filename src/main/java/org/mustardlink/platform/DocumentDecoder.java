package org.mustardlink.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Streams;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Addresses;
import org.mustardlink.http.Json;
import org.mustardlink.pool.Capacity;
import org.mustardlink.pool.PoolId;
import org.mustardlink.pool.StepSpec;
import org.mustardlink.pool.TargetEntry;
import org.mustardlink.routing.Route;
import org.mustardlink.routing.RoutingTable;

/** Decodes the platform's documents: the configuration, target entries, and callers' jobs. */
public final class DocumentDecoder {
    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final int DEFAULT_MAX_BODY_BYTES = 262_144;
    private static final int MAX_TASKS = 10_000;
    private static final int MAX_STEPS = 1_000;
    private static final int MAX_PAYLOAD_CHARS = 4_000;
    private static final int MAX_RESOURCE_AMOUNT = 100_000_000;
    /** Longest time that a document may state; longer ones would overflow later calculations. */
    private static final double MAX_MILLIS = 365.0 * 24 * 3_600 * 1_000;

    private DocumentDecoder() {}

    /**
     * A caller's job.
     *
     * @param payload the payload passed to each task
     * @param steps the job's steps
     * @param storageOptional whether the job may be answered when it ends, without being stored
     */
    public record Job(String payload, ImmutableList<StepSpec> steps, boolean storageOptional) {}

    /**
     * Decodes the operators' configuration.
     *
     * @throws CodedException with {@link ErrorCode#PLATFORM_ERROR} if the configuration is malformed
     */
    public static RoutingTable decodeConfig(String text) {
        JsonNode root = parseObject(text, ErrorCode.PLATFORM_ERROR);
        if (!root.path("version").isIntegralNumber() || !root.path("routes").isArray()) {
            throw new CodedException(
                    ErrorCode.PLATFORM_ERROR, "the configuration must have an integral version and an array of routes");
        }
        ImmutableList.Builder<Route> routes = ImmutableList.builder();
        for (JsonNode route : root.path("routes")) {
            routes.add(new Route(
                    route.path("name").asText(),
                    route.path("host").asText(),
                    route.path("pathPrefix").asText(),
                    route.path("service").asText(),
                    decodeMillis(route, "timeoutMs"),
                    decodeMillis(route, "latencySloMs"),
                    route.path("stretch").asDouble(1),
                    route.path("priority").asInt(),
                    Math.max(1, route.path("maxAttempts").asInt(1))));
        }
        ImmutableSet.Builder<String> services = ImmutableSet.builder();
        for (JsonNode service : root.path("services")) {
            services.add(service.path("name").asText());
        }
        int maxBody = root.path("limits").path("bodyBytes").asInt(DEFAULT_MAX_BODY_BYTES);
        return RoutingTable.create(root.path("version").asLong(), routes.build(), services.build(), maxBody);
    }

    private static Duration decodeMillis(JsonNode node, String field) {
        double millis = Math.max(0, Math.min(MAX_MILLIS, node.path(field).asDouble(0)));
        return Duration.ofNanos((long) (millis * 1e6));
    }

    /**
     * Decodes a target's entry.
     *
     * @param id the entry's key
     * @return empty if the entry is malformed: a field is missing or has the wrong type, or the state is unknown
     */
    public static Optional<TargetEntry> decodeTarget(String id, String text) {
        JsonNode root;
        try {
            root = parseObject(text, ErrorCode.PLATFORM_ERROR);
        } catch (CodedException e) {
            // The caller reports the entry as malformed.
            return Optional.empty();
        }
        if (!isWellFormedTarget(root)) {
            return Optional.empty();
        }
        ImmutableSet.Builder<String> labels = ImmutableSet.builder();
        for (JsonNode label : root.path("labels")) {
            labels.add(label.asText());
        }
        try {
            InetSocketAddress address = Addresses.parse(root.path("addr").asText());
            if (address.getPort() == 0) {
                return Optional.empty();
            }
            return Optional.of(new TargetEntry(
                    id,
                    root.path(PlatformProtocol.START_TIME_FIELD).asLong(0),
                    address,
                    new PoolId(root.path("service").asText(), root.path("zone").asText()),
                    root.path("state").asText().equals(DRAINING),
                    decodeCapacity(root.path("capacity")),
                    labels.build()));
        } catch (IllegalArgumentException e) {
            // The caller reports the entry as malformed.
            return Optional.empty();
        }
    }

    /** Returns whether an entry has every field that targets write, with its type; only some of them are used. */
    private static boolean isWellFormedTarget(JsonNode root) {
        String state = root.path("state").asText();
        JsonNode startTime = root.path(PlatformProtocol.START_TIME_FIELD);
        JsonNode labels = root.path("labels");
        return root.path("service").isTextual()
                && root.path("addr").isTextual()
                && root.path("zone").isTextual()
                && root.path("version").isTextual()
                && isCount(root.path("slots"))
                && root.path("coldLeftMs").isNumber()
                && isCount(root.path("seq"))
                && (startTime.isMissingNode() || isCount(startTime))
                && root.path("capacity").isObject()
                && root.path("capacity").path("cpu").isNumber()
                && (labels.isMissingNode()
                        || (labels.isArray() && Streams.stream(labels).allMatch(JsonNode::isTextual)))
                && (state.equals(READY) || state.equals(DRAINING));
    }

    private static boolean isCount(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToLong() && node.asLong() >= 0;
    }

    private static Capacity decodeCapacity(JsonNode node) {
        return new Capacity(decodeAmount(node, "cpu"), decodeAmount(node, "memMb"), decodeAmount(node, "gpu"));
    }

    private static int decodeAmount(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isNumber() || value.asDouble() < 0 || value.asDouble() > MAX_RESOURCE_AMOUNT) {
            throw new IllegalArgumentException(field + " must be a number from 0 to " + MAX_RESOURCE_AMOUNT);
        }
        return (int) Math.ceil(value.asDouble());
    }

    /**
     * Decodes a caller's job.
     *
     * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the job is malformed or exceeds a limit
     */
    public static Job decodeJob(String text) {
        JsonNode root = parseObject(text, ErrorCode.BAD_REQUEST);
        JsonNode steps = root.path("steps");
        require(root.path("spec").isTextual(), "spec must be a string");
        require(root.path("spec").asText().length() <= MAX_PAYLOAD_CHARS, "spec must have at most 4000 characters");
        require(
                steps.isArray() && !steps.isEmpty() && steps.size() <= MAX_STEPS,
                "steps must be an array of 1 to 1000 steps");
        ImmutableList.Builder<StepSpec> decoded = ImmutableList.builder();
        int tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = decodeStep(steps.get(i), i);
            tasks += step.taskCount();
            require(tasks <= MAX_TASKS, "a job must have at most 10000 tasks");
            decoded.add(step);
        }
        return new Job(
                root.path("spec").asText(),
                decoded.build(),
                root.path("bestEffort").asBoolean(false));
    }

    private static StepSpec decodeStep(JsonNode node, int number) {
        require(node.isObject(), "each step must be an object");
        JsonNode count = node.path("count");
        require(
                count.isMissingNode()
                        || (count.isIntegralNumber() && count.asLong() > 0 && count.asLong() <= MAX_TASKS),
                "count must be an integer from 1 to 10000");
        ImmutableList.Builder<Integer> after = ImmutableList.builder();
        for (JsonNode earlier : node.path("after")) {
            require(
                    earlier.isIntegralNumber() && earlier.asInt() >= 0 && earlier.asInt() < number,
                    "after must contain only indexes of earlier steps");
            after.add(earlier.asInt());
        }
        try {
            JsonNode antiAffinity = node.path("antiAffinity");
            require(
                    antiAffinity.isMissingNode() || antiAffinity.canConvertToInt(),
                    "antiAffinity must be a number of 32 bits");
            int perTarget = antiAffinity.asInt(0);
            return new StepSpec(
                    count.asInt(1),
                    decodeCapacity(node),
                    decodeMillis(node, "estMs"),
                    after.build(),
                    Optional.of(node.path("requires").asText()).filter(label -> !label.isEmpty()),
                    perTarget > 0 ? perTarget : Integer.MAX_VALUE);
        } catch (IllegalArgumentException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, e.getMessage(), e);
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new CodedException(ErrorCode.BAD_REQUEST, message);
        }
    }

    private static JsonNode parseObject(String text, ErrorCode code) {
        try {
            JsonNode root = Json.readTree(text);
            if (root == null || !root.isObject()) {
                throw new CodedException(code, "the document must be a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            throw new CodedException(code, "malformed JSON: " + e.getOriginalMessage(), e);
        }
    }
}
