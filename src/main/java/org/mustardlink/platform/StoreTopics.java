package org.mustardlink.platform;

/** Names of the store's topics and keys: those written by the platform, and those written by dispatch hosts. */
public final class StoreTopics {
    /** Topic of the records written by operators. */
    public static final String OPERATOR = PlatformProtocol.OPERATOR_TOPIC;
    /** Topic of the targets' entries, keyed by the id of the target instance. */
    public static final String TARGETS = PlatformProtocol.TARGETS_TOPIC;
    /** Key of the configuration in {@link #OPERATOR}. */
    public static final String CONFIG_KEY = PlatformProtocol.CONFIG_KEY;

    /** Topic of the dispatch hosts, keyed by host id. */
    public static final String HOSTS = PlatformProtocol.KEYED_TOPIC_PREFIX + "mustardlink-hosts";
    /** Topic of the claims of pools; the order of the records decides between hosts that claim a pool concurrently. */
    public static final String CLAIMS = PlatformProtocol.KEYED_TOPIC_PREFIX + "mustardlink-claims";

    private StoreTopics() {}
}
