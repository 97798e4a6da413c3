package org.mustardlink.target;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Names and digests of the HTTP protocol between entry hosts and targets; {@code docs/api.md} describes it. */
public final class TargetProtocol {
    /** Path that tasks are posted to. */
    public static final String TASKS_PATH = "/v1/tasks";
    /** Task id, in the request and echoed in the answer. */
    public static final String TASK_HEADER = "Mustardlink-Task";
    /** Time in milliseconds after which the target stops the task. */
    public static final String LEASE_HEADER = "Mustardlink-Lease-Ms";
    /** Digest of the answer's body. */
    public static final String DIGEST_HEADER = "Mustardlink-Digest";
    /** Slots in use at the target. */
    public static final String BUSY_HEADER = "Mustardlink-Busy";
    /** Slots of the target. */
    public static final String SLOTS_HEADER = "Mustardlink-Slots";
    /** Present on an answer that says that the task was not started; its value tells why. */
    public static final String NOT_RUN_HEADER = "Mustardlink-Not-Run";
    /** Not started: no free slot. */
    public static final String NOT_RUN_BUSY = "busy";
    /** Not started: the target is draining. */
    public static final String NOT_RUN_DRAINING = "draining";

    private TargetProtocol() {}

    /** Returns the digest of a body: CRC32C in hexadecimal. */
    public static String digest(String body) {
        return Hashing.crc32c().hashString(body, StandardCharsets.UTF_8).toString();
    }
}
