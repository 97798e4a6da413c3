package org.mustardlink.target;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Paths, headers and digests of the HTTP protocol between entry hosts and targets; {@code docs/api.md} describes it. */
public final class TargetProtocol {
    /** Path to which tasks are posted. */
    public static final String TASKS_PATH = "/v1/tasks";
    /** Header with the task id, in the request and in the reply to it. */
    public static final String TASK_HEADER = "Mustardlink-Task";
    /** Header with the time in milliseconds after which the target stops the task. */
    public static final String LEASE_HEADER = "Mustardlink-Lease-Ms";
    /** Header with the digest of the body of a reply. */
    public static final String DIGEST_HEADER = "Mustardlink-Digest";
    /** Header with the number of slots in use at the target. */
    public static final String BUSY_HEADER = "Mustardlink-Busy";
    /** Header with the number of slots of the target. */
    public static final String SLOTS_HEADER = "Mustardlink-Slots";
    /** Header of a reply that says that the task was not started; the value is the cause. */
    public static final String NOT_RUN_HEADER = "Mustardlink-Not-Run";
    /** Value of {@link #NOT_RUN_HEADER}: the target has no free slot. */
    public static final String NOT_RUN_BUSY = "busy";
    /** Value of {@link #NOT_RUN_HEADER}: the target is draining. */
    public static final String NOT_RUN_DRAINING = "draining";

    private TargetProtocol() {}

    /** Returns the digest of a body: the CRC32C of its UTF-8 bytes in hexadecimal. */
    public static String digest(String body) {
        return Hashing.crc32c().hashString(body, StandardCharsets.UTF_8).toString();
    }
}
