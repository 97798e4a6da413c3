package org.mustardlink.platform;

/** Names of the paths, headers, topics and fields in the platform's protocols. */
final class PlatformProtocol {
    static final String READY_PATH = "/api/ready";
    static final String DEADLINE_HEADER = "X-Deadline-Ms";
    /** Header with the id of the target instance that an order is meant for. */
    static final String INSTANCE_HEADER = "X-Expect-Instance";

    static final String START_PATH = "/api/run-start";
    static final String STOP_PATH = "/api/run-stop";
    static final String EXTEND_LEASE_PATH = "/api/hold";

    static final String APPEND_PATH = "/api/log-append";
    static final String READ_PATH = "/api/log-read";
    static final String NEWEST_PATH = "/api/log-newest";

    /** Name prefix of topics that keep the newest record of each key. */
    static final String KEYED_TOPIC_PREFIX = "keyed.";

    static final String OPERATOR_TOPIC = KEYED_TOPIC_PREFIX + "op";
    static final String TARGETS_TOPIC = KEYED_TOPIC_PREFIX + "servers";
    static final String CONFIG_KEY = "config";

    static final String REASON_FIELD = "reason";
    static final String CLOCK_FIELD = "clockMs";
    /** Field with the start time of a target instance, in milliseconds since the epoch. */
    static final String START_TIME_FIELD = "born";
    /** Field with the runs that are present, one row each. */
    static final String RUNNING_FIELD = "running";
    /** Field with the runs that ended and were not acknowledged, one row each. */
    static final String ENDED_FIELD = "ended";

    private PlatformProtocol() {}
}
