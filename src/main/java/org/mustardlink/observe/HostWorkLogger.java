package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Logs the work of a host every ten seconds, so that operators can attribute its processor time.
 *
 * <p>Not thread-safe: used only by the thread of the event loop.
 */
public final class HostWorkLogger {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final EntryMetrics metrics;
    private final EventLog log;
    private final long startedNanos;
    private long lastLineNanos;
    private long loopPasses;

    /**
     * Creates a logger that writes its first line ten seconds after the start of the host.
     *
     * @param startedNanos start of the host, on the monotonic clock
     */
    public HostWorkLogger(EntryMetrics metrics, EventLog log, long startedNanos) {
        this.metrics = checkNotNull(metrics, "metrics");
        this.log = checkNotNull(log, "log");
        this.startedNanos = startedNanos;
        this.lastLineNanos = startedNanos;
    }

    /** Counts one pass of the event loop. */
    public void countLoopPass() {
        loopPasses++;
    }

    /** Writes a line if at least ten seconds have passed since the last one. */
    public void writeIfDue(long nowNanos) {
        if (nowNanos - lastLineNanos < INTERVAL_NANOS) {
            return;
        }
        lastLineNanos = nowNanos;
        log.line(LogEvent.HOST_WORK)
                .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos))
                .with(LogField.PROCESSOR_MS, processorTimeMs())
                .with(LogField.LOOP_PASSES, loopPasses)
                .with(LogField.HEARTBEATS_SENT, metrics.messageCount(MessageKind.HEARTBEAT))
                .with(LogField.HEARTBEATS_RECEIVED, metrics.messageCount(MessageKind.HEARTBEAT_RECEIVED))
                .with(LogField.PEER_MESSAGES, metrics.messageCount(MessageKind.PEER))
                .with(LogField.STARTS, metrics.messageCount(MessageKind.START))
                .with(LogField.REPORTS, metrics.messageCount(MessageKind.REPORT))
                .with(LogField.TARGET_ENTRIES, metrics.messageCount(MessageKind.TARGET_ENTRY))
                .with(LogField.PLACEMENTS, metrics.placementCount())
                .with(LogField.PLANNED_JOBS, metrics.plannedJobCount())
                .write();
    }

    private static long processorTimeMs() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toMillis)
                .orElse(-1L);
    }
}
