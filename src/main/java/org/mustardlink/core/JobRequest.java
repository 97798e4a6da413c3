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

    public JobRequest {
        checkArgument(!service.isEmpty(), "service must not be empty");
        checkArgument(!team.isEmpty(), "team must not be empty");
        checkArgument(!jobClass.isEmpty(), "class must not be empty");
        checkArgument(!deadline.isNegative() && !deadline.isZero(), "deadline must be positive: %s", deadline);
        checkNotNull(tasks, "tasks");
        checkArgument(
                !tasks.isEmpty() && tasks.size() <= MAX_TASKS, "a job has 1 to %s tasks: %s", MAX_TASKS, tasks.size());
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
