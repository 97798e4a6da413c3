package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.time.Duration;

/**
 * A job as submitted by a caller: tasks for one service that run in parallel.
 *
 * @param service service whose targets run the tasks
 * @param team team whose quota the tasks count against
 * @param jobClass class for which run times are learned and histograms are kept
 * @param idempotent whether it is safe to run a task twice; a start is not repeated in either case
 * @param deadline time from arrival until the answer is due, positive
 * @param tasks tasks of the job, 1 to {@link #MAX_TASKS}
 */
public record JobRequest(
        String service,
        String team,
        String jobClass,
        boolean idempotent,
        Duration deadline,
        ImmutableList<TaskSpec> tasks) {
    /** Maximum number of tasks of a job. */
    public static final int MAX_TASKS = 210;

    /** Maximum length of the name of a service, team or class, in characters. */
    public static final int MAX_NAME_LENGTH = 128;

    /** Maximum deadline. */
    public static final Duration MAX_DEADLINE = Duration.ofHours(1);

    public JobRequest {
        checkName("service", service);
        checkName("team", team);
        checkName("class", jobClass);
        checkArgument(
                !deadline.isNegative() && !deadline.isZero() && deadline.compareTo(MAX_DEADLINE) <= 0,
                "deadline must be positive and at most %s: %s",
                MAX_DEADLINE,
                deadline);
        checkNotNull(tasks, "tasks");
        checkArgument(
                !tasks.isEmpty() && tasks.size() <= MAX_TASKS,
                "job must have 1 to %s tasks: %s",
                MAX_TASKS,
                tasks.size());
    }

    private static void checkName(String what, String name) {
        checkArgument(
                !name.isEmpty() && name.length() <= MAX_NAME_LENGTH,
                "%s must have 1 to %s characters",
                what,
                MAX_NAME_LENGTH);
    }

    /** Returns a copy of this request with another deadline. */
    public JobRequest withDeadline(Duration remaining) {
        return new JobRequest(service, team, jobClass, idempotent, remaining, tasks);
    }

    /**
     * Returns a fingerprint of all content but the deadline, which is shorter when a caller resubmits the job later.
     */
    public long fingerprint() {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putUnencodedChars(service).putChar('\n').putUnencodedChars(team).putChar('\n');
        hasher.putUnencodedChars(jobClass).putBoolean(idempotent);
        for (TaskSpec task : tasks) {
            hasher.putInt(task.payload().length())
                    .putUnencodedChars(task.payload())
                    .putLong(task.declaredMs());
        }
        return hasher.hash().asLong();
    }
}
