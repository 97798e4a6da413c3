package org.mustardlink.host;

import com.google.common.base.Ascii;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.mustardlink.front.CallerResponse;
import org.mustardlink.observe.EntryMetrics;
import org.mustardlink.observe.EventLog;
import org.mustardlink.observe.JobOutcome;
import org.mustardlink.observe.LogEvent;
import org.mustardlink.observe.LogField;
import org.mustardlink.observe.SizeClass;
import org.mustardlink.ownership.Claim;
import org.mustardlink.pool.JobOrder;
import org.mustardlink.pool.JobResult;
import org.mustardlink.pool.PoolId;

/** The open requests, with the callers that wait for the responses; logs and counts them. Runs on the loop thread. */
final class OpenRequests {
    private final String domain;
    private final EntryMetrics metrics;
    private final EventLog log;
    private final JobSizes jobSizes = new JobSizes();
    private final Map<Long, PendingRequest> requestsByNumber = new HashMap<>();

    private static final class PendingRequest {
        private final JobOrder order;
        private final long configVersion;
        private final long arrivedNanos;
        private final SizeClass size;
        private final Consumer<CallerResponse> onResponse;
        private Optional<PoolId> pool = Optional.empty();

        private PendingRequest(
                JobOrder order,
                long configVersion,
                long arrivedNanos,
                SizeClass size,
                Consumer<CallerResponse> onResponse) {
            this.order = order;
            this.configVersion = configVersion;
            this.arrivedNanos = arrivedNanos;
            this.size = size;
            this.onResponse = onResponse;
        }
    }

    OpenRequests(String domain, EntryMetrics metrics, EventLog log) {
        this.domain = domain;
        this.metrics = metrics;
        this.log = log;
    }

    void add(JobOrder order, long configVersion, Consumer<CallerResponse> onResponse, long now) {
        SizeClass size = jobSizes.classify(order.route(), order.workMilliCoreNanos());
        requestsByNumber.put(order.request().number(), new PendingRequest(order, configVersion, now, size, onResponse));
    }

    /** Records that a request was sent to a master whose last heartbeat arrived {@code heartbeatAgeMs} ago. */
    void recordSubmission(Claim master, JobOrder order, long heartbeatAgeMs) {
        PendingRequest request = requestsByNumber.get(order.request().number());
        if (request == null) {
            return;
        }
        request.pool = Optional.of(master.pool());
        log.line(LogEvent.REQUEST_SENT)
                .with(LogField.JOB, order.job())
                .with(LogField.POOL, master.pool())
                .with(LogField.MASTER, master.host())
                .with(LogField.ROUND, master.round())
                .with(LogField.RESUMED, order.mayHaveStarted())
                .with(LogField.TASKS, request.order.taskCount())
                .with(LogField.TASK_CPU, request.order.maxTaskCpuMillis())
                .with(LogField.CHAIN_MS, request.order.criticalPath().toMillis())
                .with(LogField.WORK, Math.round(request.order.workMilliCoreNanos() / TimeUnit.SECONDS.toNanos(1)))
                .with(LogField.CONFIG_VERSION, request.configVersion)
                .with(LogField.AGE_MS, heartbeatAgeMs)
                .write();
    }

    /** Logs a result under a claim other than the one to which the request was last sent. */
    void logSupersededResult(Claim claim, long number, JobResult result) {
        PendingRequest request = requestsByNumber.get(number);
        if (request == null) {
            return;
        }
        log.line(LogEvent.RESULT_SUPERSEDED)
                .with(LogField.JOB, request.order.job())
                .with(LogField.POOL, claim.pool())
                .with(LogField.MASTER, claim.host())
                .with(LogField.ROUND, claim.round())
                .with(LogField.ANSWER, result.getClass().getSimpleName())
                .write();
    }

    /** Sends a caller its final response. */
    void respond(long number, CallerResponse response, long now) {
        PendingRequest request = requestsByNumber.remove(number);
        if (request != null) {
            recordResponse(request, response.kind().name(), outcomeOf(response.kind()), response.reason(), now);
            request.onResponse.accept(response);
        }
    }

    /** Ends a request whose caller has closed its connection. */
    void recordCallerDisconnect(long number, long now) {
        PendingRequest request = requestsByNumber.remove(number);
        if (request != null) {
            recordResponse(request, "CALLER_GONE", JobOutcome.ENDED, "the caller closed its connection", now);
        }
    }

    private static JobOutcome outcomeOf(CallerResponse.Kind kind) {
        return switch (kind) {
            case COMPLETE -> JobOutcome.COMPLETE;
            case NOT_RUN -> JobOutcome.REFUSED;
            case FAILED, MAY_HAVE_RUN, TIMED_OUT -> JobOutcome.ENDED;
        };
    }

    private void recordResponse(PendingRequest request, String answer, JobOutcome outcome, String reason, long now) {
        metrics.countAnswer(Ascii.toLowerCase(answer));
        metrics.countJob(request.order.route(), request.size, outcome);
        metrics.recordResponseTime(domain, request.order.route(), now - request.arrivedNanos);
        log.line(LogEvent.REQUEST_ANSWERED)
                .with(LogField.JOB, request.order.job())
                .with(LogField.ROUTE, request.order.route())
                .with(LogField.ANSWER, answer)
                .with(LogField.REASON, reason)
                .with(LogField.POOL, request.pool.map(PoolId::toString).orElse(""))
                .with(LogField.CONFIG_VERSION, request.configVersion)
                .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(now - request.arrivedNanos))
                .write();
    }
}
