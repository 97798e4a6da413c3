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
    static final String REFUSED = "REFUSED";
    static final String WHOLE = "WHOLE";
    static final String ANSWER = "ANSWER";

    private final Consumer<Violation> violations;
    private final int maxAttempts;
    private final Map<String, Job> jobs = new HashMap<>();

    private static final class Job {
        private final int tasks;
        private int open;
        private boolean allRefused = true;
        private long firstStartMs = -1;
        private String firstTask = "";
        private String firstTarget = "";
        private final Set<String> done = new HashSet<>();
        private final Map<String, Integer> failures = new HashMap<>();

        private Job(int tasks) {
            this.tasks = tasks;
        }
    }

    private AnswerChecker(Consumer<Violation> violations, int maxAttempts) {
        this.violations = violations;
        this.maxAttempts = maxAttempts;
    }

    /**
     * Returns a checker that has seen nothing yet.
     *
     * @param maxAttempts runs of a task that have to fail before its job may be answered as failed
     */
    public static AnswerChecker create(Consumer<Violation> violations, int maxAttempts) {
        return new AnswerChecker(violations, maxAttempts);
    }

    /** Notes that a try of a job was sent. */
    public synchronized void sent(String job, int tasks) {
        jobs.computeIfAbsent(job, _job -> new Job(tasks)).open++;
    }

    /** Notes a start. */
    public synchronized void started(String target, String task, long atMs) {
        String id = StandInDocuments.jobIdOf(task);
        Job job = jobs.get(id);
        if (job == null) {
            violations.accept(new Violation(atMs, ANSWER, id, "task=" + task + " of a job that nobody sent"));
            return;
        }
        if (job.firstStartMs < 0) {
            job.firstStartMs = atMs;
            job.firstTask = task;
            job.firstTarget = target;
            checkRefused(id, job, atMs);
        }
    }

    /** Notes an end; {@code how} is as in the target's report. */
    public synchronized void ended(String task, String how) {
        Job job = jobs.get(StandInDocuments.jobIdOf(task));
        if (job != null && how.equals("done")) {
            job.done.add(task);
        } else if (job != null && how.equals("failed")) {
            job.failures.merge(task, 1, Integer::sum);
        }
    }

    /** Notes that a try was refused with the promise that the job doesn't run. */
    public synchronized void refused(String id, long atMs) {
        Job job = jobs.get(id);
        job.open--;
        checkRefused(id, job, atMs);
    }

    /** Notes that a try had no answer, or one that says nothing about the job's effect. */
    public synchronized void unknown(String id) {
        Job job = jobs.get(id);
        job.open--;
        job.allRefused = false;
    }

    /** Notes that a try was not sent after all. */
    public synchronized void notSent(String id, long atMs) {
        Job job = jobs.get(id);
        job.open--;
        checkRefused(id, job, atMs);
    }

    private void checkRefused(String id, Job job, long atMs) {
        if (job.open == 0 && job.allRefused && job.firstStartMs >= 0) {
            String detail = "task=%s target=%s start %d ms, every try refused by %d ms"
                    .formatted(job.firstTask, job.firstTarget, job.firstStartMs, atMs);
            violations.accept(new Violation(atMs, REFUSED, id, detail));
        }
    }

    /**
     * Notes a final answer.
     *
     * @param status of the answer
     * @param body of the answer
     */
    public synchronized void answered(String id, int status, String body, long atMs) {
        unknown(id);
        Job job = jobs.get(id);
        boolean complete = status == 200 && body.contains("\"complete\"");
        boolean failed = status == 200 && body.contains("\"failed\"");
        if (complete && job.done.size() < job.tasks) {
            String detail = "answered complete with %d of %d tasks done".formatted(job.done.size(), job.tasks);
            violations.accept(new Violation(atMs, WHOLE, id, detail));
        } else if (failed && job.failures.values().stream().noneMatch(count -> count >= maxAttempts)) {
            String detail = "answered failed after failures %s".formatted(job.failures);
            violations.accept(new Violation(atMs, WHOLE, id, detail));
        } else if (!complete && !failed) {
            violations.accept(new Violation(atMs, ANSWER, id, "status=%d body=%s".formatted(status, body)));
        }
    }
}
