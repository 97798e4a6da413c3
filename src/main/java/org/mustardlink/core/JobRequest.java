package org.mustardlink.core;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.time.Duration;

/**
 * What a caller submits: parallel tasks for one service.
 *
 * @param service the service whose targets run the tasks
 * @param team the team whose quota pays
 * @param jobClass the class by which run times are learned and histograms are kept
 * @param idempotent whether running a task twice would be harmless; a start is never repeated either way
 * @param deadline time from arrival until the answer must be given, positive
 * @param tasks the tasks, 1 to {@link #MAX_TASKS}
 */
public record JobRequest(
        String service,
        String team,
        String jobClass,
        boolean idempotent,
        Duration deadline,
        ImmutableList<TaskSpec> tasks) {
    /** Most tasks in one job. */
    public static final int MAX_TASKS = 210;

    /** Longest name of a service, team or class, in characters. */
    public static final int MAX_NAME_LENGTH = 128;

    /** Longest deadline. */
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
                !tasks.isEmpty() && tasks.size() <= MAX_TASKS, "a job has 1 to %s tasks: %s", MAX_TASKS, tasks.size());
    }

    private static void checkName(String what, String name) {
        checkArgument(
                !name.isEmpty() && name.length() <= MAX_NAME_LENGTH,
                "%s must have 1 to %s characters",
                what,
                MAX_NAME_LENGTH);
    }

    /** Returns the same job with another deadline. */
    public JobRequest withDeadline(Duration remaining) {
        return new JobRequest(service, team, jobClass, idempotent, remaining, tasks);
    }

    /**
     * Returns a fingerprint of everything but the deadline, which legitimately shrinks when a caller resubmits.
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
