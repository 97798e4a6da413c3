package org.mustardlink.platform.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.mustardlink.http.Json;

/** Creates documents in the format that operators and callers of the platform write. */
public final class StandInDocuments {
    private static final int TIMEOUT_MS = 3_000;
    private static final int OBJECTIVE_MS = 60;
    private static final double STRETCH = 1.6;
    private static final int MAX_ATTEMPTS = 3;
    private static final int MAX_BODY_BYTES = 262_144;
    private static final int TASK_CPU_MILLIS = 1_000;

    private StandInDocuments() {}

    /** Returns a configuration with one route. */
    public static String config(long version, String virtualHost, String pathStart, String service) {
        return config(version, virtualHost, pathStart, service, TIMEOUT_MS);
    }

    /** Returns a configuration with one route and the given request time-out. */
    public static String config(long version, String virtualHost, String pathStart, String service, int timeoutMs) {
        ImmutableMap<String, Object> route = ImmutableMap.<String, Object>builder()
                .put("name", "queue")
                .put("host", virtualHost)
                .put("pathPrefix", pathStart)
                .put("timeoutMs", timeoutMs)
                .put("latencySloMs", OBJECTIVE_MS)
                .put("priority", 0)
                .put("service", service)
                .put("maxAttempts", MAX_ATTEMPTS)
                .put("stretch", STRETCH)
                .buildOrThrow();
        return Json.write(ImmutableMap.of(
                "version",
                version,
                "routes",
                ImmutableList.of(route),
                "services",
                ImmutableList.of(ImmutableMap.of("name", service)),
                "limits",
                ImmutableMap.of("bodyBytes", MAX_BODY_BYTES)));
    }

    /** Returns the headers of a caller's request. */
    public static ImmutableMap<String, String> callerHeaders(String virtualHost, long deadlineMs) {
        return ImmutableMap.of(
                "Host", virtualHost, "Content-Type", "application/json", "X-Deadline-Ms", Long.toString(deadlineMs));
    }

    /** Returns the path of a dispatch host's readiness check. */
    public static String readyPath() {
        return "/api/ready";
    }

    /** Returns the id of the job that a task belongs to. */
    public static String jobIdOf(String taskName) {
        return taskName.substring(0, taskName.indexOf('.'));
    }

    /** Returns a job of one step with identical tasks, which need not be stored. */
    public static String job(int tasks, int taskMs) {
        return Json.write(ImmutableMap.of(
                "spec",
                Integer.toString(taskMs),
                "bestEffort",
                true,
                "steps",
                ImmutableList.of(
                        ImmutableMap.of("count", tasks, "cpu", TASK_CPU_MILLIS, "memMb", 1, "estMs", taskMs))));
    }
}
