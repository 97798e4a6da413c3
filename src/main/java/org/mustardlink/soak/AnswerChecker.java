package org.mustardlink.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.mustardlink.platform.standin.StandInDocuments;

/**
 * Checks what callers are told against what targets saw: a complete job has run whole, a failed one has failed often enough,
 * and a job that was refused at every try never starts. Thread-safe.
 */
public final class AnswerChecker {
    static final String RULE_REFUSED = "REFUSED";
    static final String RULE_WHOLE = "WHOLE";
    static final String RULE_ANSWER = "ANSWER";

    private final Consumer<Violation> violationListener;
    private final int maxAttempts;
    private final Map<String, Job> jobs = new HashMap<>();

    private static final class Job {
        private final int taskCount;
        private int openSubmissions;
        private boolean allRefused = true;
        private long firstStartMs = -1;
        private String firstTask = "";
        private String firstTarget = "";
        private final Set<String> completedTasks = new HashSet<>();
        private final Map<String, Integer> failureCounts = new HashMap<>();

        private Job(int taskCount) {
            this.taskCount = taskCount;
        }
    }

    private AnswerChecker(Consumer<Violation> violationListener, int maxAttempts) {
        this.violationListener = violationListener;
        this.maxAttempts = maxAttempts;
    }

    /**
     * Returns a checker that has seen nothing yet.
     *
     * @param maxAttempts runs of a task that have to fail before its job may be answered as failed
     */
    public static AnswerChecker create(Consumer<Violation> violationListener, int maxAttempts) {
        return new AnswerChecker(violationListener, maxAttempts);
    }

    /** Notes that a try of a job was sent. */
    public synchronized void recordSubmission(String jobId, int taskCount) {
        jobs.computeIfAbsent(jobId, _jobId -> new Job(taskCount)).openSubmissions++;
    }

    /** Notes a start. */
    public synchronized void recordStart(String target, String task, long atMs) {
        String jobId = StandInDocuments.jobOf(task);
        Job job = jobs.get(jobId);
        if (job == null) {
            violationListener.accept(
                    new Violation(atMs, RULE_ANSWER, jobId, "task=" + task + " of a job that nobody sent"));
            return;
        }
        if (job.firstStartMs < 0) {
            job.firstStartMs = atMs;
            job.firstTask = task;
            job.firstTarget = target;
            checkRefusals(jobId, job, atMs);
        }
    }

    /** Notes an end; {@code outcome} is as in the target's report. */
    public synchronized void recordEnd(String task, String outcome) {
        Job job = jobs.get(StandInDocuments.jobOf(task));
        if (job != null && outcome.equals("done")) {
            job.completedTasks.add(task);
        } else if (job != null && outcome.equals("failed")) {
            job.failureCounts.merge(task, 1, Integer::sum);
        }
    }

    /** Notes that a try was refused with the promise that the job doesn't run. */
    public synchronized void recordRefusal(String jobId, long atMs) {
        Job job = jobs.get(jobId);
        job.openSubmissions--;
        checkRefusals(jobId, job, atMs);
    }

    /** Notes that a try had no answer, or one that says nothing about the job's effect. */
    public synchronized void recordUnknownOutcome(String jobId) {
        Job job = jobs.get(jobId);
        job.openSubmissions--;
        job.allRefused = false;
    }

    /** Notes that a try was not sent after all. */
    public synchronized void recordNotSent(String jobId, long atMs) {
        Job job = jobs.get(jobId);
        job.openSubmissions--;
        checkRefusals(jobId, job, atMs);
    }

    private void checkRefusals(String jobId, Job job, long atMs) {
        if (job.openSubmissions == 0 && job.allRefused && job.firstStartMs >= 0) {
            String detail = "task=%s target=%s start %d ms, every try refused by %d ms"
                    .formatted(job.firstTask, job.firstTarget, job.firstStartMs, atMs);
            violationListener.accept(new Violation(atMs, RULE_REFUSED, jobId, detail));
        }
    }

    /**
     * Notes a final answer.
     *
     * @param status of the answer
     * @param body of the answer
     */
    public synchronized void recordAnswer(String jobId, int status, String body, long atMs) {
        recordUnknownOutcome(jobId);
        Job job = jobs.get(jobId);
        boolean complete = status == 200 && body.contains("\"complete\"");
        boolean failed = status == 200 && body.contains("\"failed\"");
        if (complete && job.completedTasks.size() < job.taskCount) {
            String detail =
                    "answered complete with %d of %d tasks done".formatted(job.completedTasks.size(), job.taskCount);
            violationListener.accept(new Violation(atMs, RULE_WHOLE, jobId, detail));
        } else if (failed && job.failureCounts.values().stream().noneMatch(count -> count >= maxAttempts)) {
            String detail = "answered failed after failures %s".formatted(job.failureCounts);
            violationListener.accept(new Violation(atMs, RULE_WHOLE, jobId, detail));
        } else if (!complete && !failed) {
            violationListener.accept(
                    new Violation(atMs, RULE_ANSWER, jobId, "status=%d body=%s".formatted(status, body)));
        }
    }
}
