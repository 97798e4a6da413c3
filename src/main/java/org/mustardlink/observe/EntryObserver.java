package org.mustardlink.observe;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.mustardlink.config.settings.EntrySettings;
import org.mustardlink.core.AttemptResult;
import org.mustardlink.core.Command;
import org.mustardlink.core.Event;
import org.mustardlink.core.Reason;
import org.mustardlink.core.SubmissionId;
import org.mustardlink.core.TargetSpec;
import org.mustardlink.core.TaskId;
import org.mustardlink.core.Verdict;

/**
 * Observes the events that enter the dispatch core and the commands that the core issues, and updates the metrics, the
 * event log and the target statistics from them.
 *
 * <p>Thread-safe. It never blocks, and no event or command makes it throw.
 */
public final class EntryObserver {
    private static final long LOOP_LAG_WARNING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EntryMetrics metrics;
    private final EventLog log;
    private final TargetStatistics targetStatistics = new TargetStatistics();
    private final Map<Long, PendingJob> pendingJobs = new ConcurrentHashMap<>();
    private final Map<TaskId, TargetSpec> inFlight = new ConcurrentHashMap<>();
    private final AtomicBoolean platformUnreachable = new AtomicBoolean();
    private volatile ImmutableSet<String> drainingIds = ImmutableSet.of();

    private EntryObserver(EntryMetrics metrics, EventLog log) {
        this.metrics = metrics;
        this.log = log;
    }

    private record PendingJob(String team, String jobClass, long submittedNanos) {}

    /** Creates an observer of one entry host. */
    public static EntryObserver create(EntrySettings settings) {
        EntryMetrics metrics = EntryMetrics.create(
                settings.metrics().maxSeries(), settings.metrics().digits());
        EventLog log = EventLog.create(
                settings.id(), settings.domain(), settings.logs().linesPerEvent());
        return new EntryObserver(metrics, log);
    }

    /** Returns the metrics. */
    public EntryMetrics metrics() {
        return metrics;
    }

    /** Returns the log. */
    public EventLog log() {
        return log;
    }

    /** Returns the statistics of each declared target. */
    ImmutableList<TargetStatistics.TargetSummary> targetSummaries() {
        return targetStatistics.summaries();
    }

    /** Observes an event that is about to enter the core. */
    public void observeEvent(Event event) {
        if (event instanceof Event.JobSubmitted submitted) {
            pendingJobs.put(
                    submitted.requester(),
                    new PendingJob(
                            submitted.request().team(), submitted.request().jobClass(), System.nanoTime()));
        } else if (event instanceof Event.RequesterDisconnected gone) {
            pendingJobs.remove(gone.requester());
        } else if (event instanceof Event.AttemptEnded ended) {
            recordAttemptEnd(ended);
        } else if (event instanceof Event.TargetsDeclared declared) {
            updateDeclaredTargets(declared.targets());
        } else if (event instanceof Event.TargetsDraining marked) {
            updateDrainingTargets(marked.targets());
        }
    }

    /** Observes a command that the core issued. */
    public void observeCommand(Command command) {
        if (command instanceof Command.StartTask start) {
            metrics.count(MessageKind.START);
            inFlight.put(start.task(), start.target());
            targetStatistics.recordStart(start);
        } else if (command instanceof Command.StopTask) {
            metrics.count(MessageKind.CANCEL);
        } else if (command instanceof Command.DeliverVerdict delivered) {
            recordVerdict(delivered.requester(), delivered.id(), delivered.verdict());
        } else if (command instanceof Command.SessionRefused refused) {
            metrics.count(refused.reason());
            log.line(LogEvent.SESSION_REFUSED)
                    .with(LogField.REASON, refused.reason())
                    .write();
        }
    }

    /** Records how long the oldest event of a tick waited for the event loop, in nanoseconds. */
    public void recordLoopLag(long lagNanos) {
        metrics.recordLoopLag(lagNanos);
        if (lagNanos > LOOP_LAG_WARNING_NANOS) {
            log.line(LogEvent.LOOP_LATE)
                    .with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(lagNanos))
                    .write();
        }
    }

    /** Records a call that forwards a caller's request to another entry host. */
    public void recordForwardedCall() {
        metrics.countForwardedCall();
        metrics.count(MessageKind.PEER);
    }

    /** Records an answer that was dropped because its requester had disconnected. */
    public void recordDroppedAnswer(Command command) {
        metrics.countDroppedAnswer();
        EventLog.Line line = log.line(LogEvent.ANSWER_DROPPED);
        if (command instanceof Command.DeliverVerdict delivered) {
            addSubmission(line, delivered.id())
                    .with(LogField.REASON, delivered.verdict().reason());
        }
        line.write();
    }

    /**
     * Records an attempt to read the platform's list of hosts. Writes a log line only if the outcome differs from that
     * of the previous attempt.
     *
     * @param failure why the list could not be read, empty if it was read
     */
    public void recordPlatformRead(Optional<Throwable> failure) {
        boolean unreachable = failure.isPresent();
        if (platformUnreachable.compareAndSet(!unreachable, unreachable)) {
            EventLog.Line line = log.line(unreachable ? LogEvent.PLATFORM_LOST : LogEvent.PLATFORM_BACK);
            failure.ifPresent(error -> line.with(LogField.ERROR, error.getMessage()));
            line.write();
        }
    }

    /** Returns whether the last attempt to read the platform's list of hosts succeeded. */
    public boolean isPlatformReachable() {
        return !platformUnreachable.get();
    }

    private void recordVerdict(long requester, SubmissionId id, Verdict verdict) {
        metrics.count(verdict.reason());
        PendingJob pendingJob = pendingJobs.remove(requester);
        EventLog.Line line = log.line(verdict.reason() == Reason.OK ? LogEvent.JOB_COMPLETE : LogEvent.JOB_FAILED);
        addSubmission(line, id).with(LogField.REASON, verdict.reason());
        if (pendingJob != null) {
            long nanos = System.nanoTime() - pendingJob.submittedNanos();
            line.with(LogField.ELAPSED_MS, TimeUnit.NANOSECONDS.toMillis(nanos));
            if (verdict.reason() == Reason.OK) {
                metrics.recordResponseTime(pendingJob.team(), pendingJob.jobClass(), nanos);
            }
        }
        line.write();
    }

    private void recordAttemptEnd(Event.AttemptEnded ended) {
        TargetSpec target = inFlight.remove(ended.task());
        targetStatistics.recordAttemptEnd(ended);
        if (ended.result() instanceof AttemptResult.NotStarted refused) {
            metrics.count(MessageKind.REFUSED_START);
            newAttemptLine(LogEvent.START_REFUSED, ended, target)
                    .with(LogField.CAUSE, refused.cause())
                    .write();
            return;
        }
        metrics.count(MessageKind.ANSWER);
        if (ended.result() instanceof AttemptResult.Lost lost) {
            newAttemptLine(LogEvent.ATTEMPT_LOST, ended, target)
                    .with(LogField.REASON, lost.reason())
                    .write();
        }
    }

    private EventLog.Line newAttemptLine(LogEvent event, Event.AttemptEnded ended, TargetSpec target) {
        EventLog.Line line = addSubmission(log.line(event), ended.task().submission())
                .with(LogField.TASK, ended.task())
                .with(LogField.ATTEMPT, ended.attempt());
        if (target != null) {
            line.with(LogField.TARGET, target.id()).with(LogField.TARGET_DOMAIN, target.domain());
        }
        return line;
    }

    private static EventLog.Line addSubmission(EventLog.Line line, SubmissionId id) {
        return line.with(LogField.SESSION, id.session()).with(LogField.SUBMISSION, id);
    }

    private void updateDeclaredTargets(ImmutableList<TargetSpec> specs) {
        if (!targetStatistics.updateDeclared(specs)) {
            return;
        }
        log.line(LogEvent.TARGETS_DECLARED).with(LogField.COUNT, specs.size()).write();
    }

    private void updateDrainingTargets(ImmutableSet<String> ids) {
        if (!ids.equals(drainingIds)) {
            drainingIds = ids;
            targetStatistics.updateDraining(ids);
            log.line(LogEvent.TARGETS_DRAINING)
                    .with(LogField.COUNT, ids.size())
                    .with(LogField.TARGETS, String.join(",", ids))
                    .write();
        }
    }
}
