package org.mustardlink.platform;

/** Topics of the store that the platform writes. */
public final class PlatformTopics {
    /** What operators write. */
    public static final String OPERATOR = Wire.OPERATOR_TOPIC;
    /** The targets' own entries, by the id of their life. */
    public static final String TARGETS = Wire.TARGETS_TOPIC;
    /** Key of the configuration among the operators' records. */
    public static final String CONFIG_KEY = Wire.CONFIG_KEY;

    private PlatformTopics() {}
}
