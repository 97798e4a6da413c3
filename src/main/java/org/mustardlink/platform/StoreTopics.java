package org.mustardlink.platform;

/** Topics of the store: those that the platform writes, and the project's own. */
public final class StoreTopics {
    /** What operators write. */
    public static final String OPERATOR = PlatformProtocol.OPERATOR_TOPIC;
    /** The targets' own entries, by the id of their life. */
    public static final String TARGETS = PlatformProtocol.TARGETS_TOPIC;
    /** Key of the configuration among the operators' records. */
    public static final String CONFIG_KEY = PlatformProtocol.CONFIG_KEY;

    /** The hosts, each under its id. */
    public static final String HOSTS = PlatformProtocol.KEYED_TOPIC_PREFIX + "mustardlink-hosts";
    /** The claims of pools; their order decides between hosts that claim at once. */
    public static final String CLAIMS = PlatformProtocol.KEYED_TOPIC_PREFIX + "mustardlink-claims";

    private StoreTopics() {}
}
