package org.mustardlink.api;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mustardlink.core.JobRequest;
import org.mustardlink.core.TaskSpec;
import org.mustardlink.errors.CodedException;
import org.mustardlink.errors.ErrorCode;
import org.mustardlink.http.Json;

/**
 * A job as callers send it.
 *
 * @param submission the submission id that the caller chose; absent when there is a key
 * @param key a key that the caller made up in place of a submission id
 * @param service the service
 * @param team the team
 * @param jobClass the class; absent means {@code default}
 * @param idempotent whether running a task twice would be harmless; absent means false
 * @param deadlineMs time until the answer must be given, in milliseconds
 * @param tasks the tasks
 */
public record JobDocument(
        SubmissionDocument submission,
        String key,
        String service,
        String team,
        @JsonProperty("class") String jobClass,
        Boolean idempotent,
        long deadlineMs,
        List<TaskSpec> tasks) {

    /**
     * A submission id in two fields.
     *
     * @param session the session
     * @param sequence the number
     */
    public record SubmissionDocument(String session, long sequence) {}

    /**
     * Reads a job.
     *
     * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if it is malformed
     */
    public static JobDocument parse(String json) {
        try {
            return Optional.ofNullable(Json.read(json, JobDocument.class))
                    .orElseThrow(() -> new CodedException(ErrorCode.BAD_REQUEST, "the job is empty"));
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "the job is malformed: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Converts to the core's request.
     *
     * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if a field is missing or breaks a bound
     */
    public JobRequest toRequest() {
        try {
            return new JobRequest(
                    orEmpty(service),
                    orEmpty(team),
                    Optional.ofNullable(jobClass).orElse("default"),
                    Boolean.TRUE.equals(idempotent),
                    Duration.ofMillis(deadlineMs),
                    tasks == null ? ImmutableList.of() : ImmutableList.copyOf(tasks));
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, String.valueOf(e.getMessage()), e);
        }
    }

    private static String orEmpty(String text) {
        return Optional.ofNullable(text).orElse("");
    }
}
