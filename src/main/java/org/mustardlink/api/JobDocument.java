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
 * The JSON document of a job, as callers send it.
 *
 * @param submission submission id that the caller chose; absent if there is a key
 * @param key key that the caller chose in place of a submission id
 * @param service service whose targets run the tasks
 * @param team team whose quota the job uses
 * @param jobClass class of the job; absent means {@code default}
 * @param idempotent whether a task may safely run twice; absent means false
 * @param deadlineMs time within which the job must be answered, in milliseconds
 * @param tasks tasks of the job
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
     * @param session id of the session
     * @param sequence sequence number within the session
     */
    public record SubmissionDocument(String session, long sequence) {}

    /**
     * Parses a job document.
     *
     * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if the document is malformed
     */
    public static JobDocument parse(String json) {
        try {
            return Optional.ofNullable(Json.read(json, JobDocument.class))
                    .orElseThrow(() -> new CodedException(ErrorCode.BAD_REQUEST, "the job document is empty"));
        } catch (JsonProcessingException e) {
            throw new CodedException(ErrorCode.BAD_REQUEST, "malformed job document: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Converts the document to a job request.
     *
     * @throws CodedException with {@link ErrorCode#BAD_REQUEST} if a field is missing or out of range
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
