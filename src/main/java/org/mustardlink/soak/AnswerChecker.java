package org.mustardlink.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.mustardlink.platform.standin.StandInDocuments;

/**
 * Checks the answers that callers receive against the runs on the targets: every task of a job answered as complete has
 * been completed, a task of a job answered as failed has failed {@code maxAttempts} times, and a job whose submissions
 * were all refused never starts. Thread-safe.
 */
public final class AnswerChecker {
    /** A job of which every submission was refused must not start. */
    static final String RULE_REFUSED = "REFUSED";
    /** The answers "complete" and "failed" must agree with the runs on the targets. */
    static final String RULE_WHOLE = "WHOLE";
    /** Callers receive only known kinds of answers, and targets only tasks of submitted jobs. */
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
     * Returns a checker without any recorded job.
     *
     * @param violationListener receives each violation
     * @param maxAttempts failed runs of one task after which its job may be answered as failed
     */
    public static AnswerChecker create(Consumer<Violation> violationListener, int maxAttempts) {
        return new AnswerChecker(violationListener, maxAttempts);
    }

    /** Records that a job was submitted, for the first time or again. */
    public synchronized void recordSubmission(String jobId, int taskCount) {
        jobs.computeIfAbsent(jobId, _jobId -> new Job(taskCount)).openSubmissions++;
    }

    /** Records the start of a task on a target. */
    public synchronized void recordStart(String target, String task, long atMs) {
        String jobId = StandInDocuments.jobIdOf(task);
        Job job = jobs.get(jobId);
        if (job == null) {
            violationListener.accept(
                    new Violation(atMs, RULE_ANSWER, jobId, "task=" + task + " of a job that was never submitted"));
            return;
        }
        if (job.firstStartMs < 0) {
            job.firstStartMs = atMs;
            job.firstTask = task;
            job.firstTarget = target;
            checkRefusals(jobId, job, atMs);
        }
    }

    /** Records the end of a task; {@code outcome} is the outcome in the target's report. */
    public synchronized void recordEnd(String task, String outcome) {
        Job job = jobs.get(StandInDocuments.jobIdOf(task));
        if (job != null && outcome.equals("done")) {
            job.completedTasks.add(task);
        } else if (job != null && outcome.equals("failed")) {
            job.failureCounts.merge(task, 1, Integer::sum);
        }
    }

    /** Records that a submission was refused, which guarantees that it does not run the job. */
    public synchronized void recordRefusal(String jobId, long atMs) {
        Job job = jobs.get(jobId);
        job.openSubmissions--;
        checkRefusals(jobId, job, atMs);
    }

    /** Records that a submission had no answer, or an answer that leaves open whether the job ran. */
    public synchronized void recordUnknownOutcome(String jobId) {
        Job job = jobs.get(jobId);
        job.openSubmissions--;
        job.allRefused = false;
    }

    /** Records that a submission that was counted could not be sent. */
    public synchronized void recordNotSent(String jobId, long atMs) {
        Job job = jobs.get(jobId);
        job.openSubmissions--;
        checkRefusals(jobId, job, atMs);
    }

    private void checkRefusals(String jobId, Job job, long atMs) {
        if (job.openSubmissions == 0 && job.allRefused && job.firstStartMs >= 0) {
            String detail = "task=%s target=%s start %d ms, every submission refused by %d ms"
                    .formatted(job.firstTask, job.firstTarget, job.firstStartMs, atMs);
            violationListener.accept(new Violation(atMs, RULE_REFUSED, jobId, detail));
        }
    }

    /**
     * Records and checks the final answer of a job.
     *
     * @param status HTTP status of the answer
     * @param body body of the answer
     */
    public synchronized void recordAnswer(String jobId, int status, String body, long atMs) {
        recordUnknownOutcome(jobId);
        Job job = jobs.get(jobId);
        boolean complete = status == 200 && body.contains("\"complete\"");
        boolean failed = status == 200 && body.contains("\"failed\"");
        if (complete && job.completedTasks.size() < job.taskCount) {
            String detail = "answered complete with %d of %d tasks completed"
                    .formatted(job.completedTasks.size(), job.taskCount);
            violationListener.accept(new Violation(atMs, RULE_WHOLE, jobId, detail));
        } else if (failed && job.failureCounts.values().stream().noneMatch(count -> count >= maxAttempts)) {
            String detail = "answered failed with failed runs by task %s".formatted(job.failureCounts);
            violationListener.accept(new Violation(atMs, RULE_WHOLE, jobId, detail));
        } else if (!complete && !failed) {
            violationListener.accept(
                    new Violation(atMs, RULE_ANSWER, jobId, "status=%d body=%s".formatted(status, body)));
        }
    }
}
