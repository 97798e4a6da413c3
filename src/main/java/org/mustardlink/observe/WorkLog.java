package org.mustardlink.observe;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Tells from time to time what a host has done, so that its processor time can be explained. Runs on the loop thread. */
public final class WorkLog {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final EntryMetrics metrics;
    private final EventLog log;
    private final long startedNanos;
    private long writtenNanos;
    private long passes;

    /**
     * Creates a log without lines.
     *
     * @param startedNanos when the host started, on a steady clock
     */
    public WorkLog(EntryMetrics metrics, EventLog log, long startedNanos) {
        this.metrics = checkNotNull(metrics, "metrics");
        this.log = checkNotNull(log, "log");
        this.startedNanos = startedNanos;
        this.writtenNanos = startedNanos;
    }

    /** Counts one pass of the event loop. */
    public void passed() {
        passes++;
    }

    /** Writes a line if the last one is old enough. */
    public void tick(long now) {
        if (now - writtenNanos < INTERVAL_NANOS) {
            return;
        }
        writtenNanos = now;
        log.line(LogEvent.HOST_WORK)
                .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(now - startedNanos))
                .with(LogField.PROCESSOR_MS, processorMs())
                .with(LogField.LOOP_PASSES, passes)
                .with(LogField.HEARTBEATS_SENT, metrics.counted(MessageKind.HEARTBEAT))
                .with(LogField.HEARTBEATS_RECEIVED, metrics.counted(MessageKind.HEARTBEAT_RECEIVED))
                .with(LogField.PEER_MESSAGES, metrics.counted(MessageKind.PEER))
                .with(LogField.STARTS, metrics.counted(MessageKind.START))
                .with(LogField.REPORTS, metrics.counted(MessageKind.REPORT))
                .with(LogField.TARGET_ENTRIES, metrics.counted(MessageKind.TARGET_ENTRY))
                .write();
    }

    private static long processorMs() {
        return ProcessHandle.current()
                .info()
                .totalCpuDuration()
                .map(Duration::toMillis)
                .orElse(-1L);
    }
}
