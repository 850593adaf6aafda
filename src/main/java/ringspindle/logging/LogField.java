package ringspindle.logging;

import com.google.common.flogger.MetadataKey;

/**
 * The fields that log lines carry besides their message, each under its own key: {@code
 * LOG.atInfo().with(LogField.EPOCH, view.epoch()).log("view changed")}. Prompts, bodies and names of clients are never
 * logged.
 */
public final class LogField {
    /** The name or endpoint of a node. */
    public static final MetadataKey<Object> NODE = field("node");
    /** The name of a region. */
    public static final MetadataKey<Object> REGION = field("region");
    /** The id of an engine. */
    public static final MetadataKey<Object> ENGINE = field("engine");
    /** The name of a service. */
    public static final MetadataKey<Object> SERVICE = field("service");
    /** The epoch of a view. */
    public static final MetadataKey<Object> EPOCH = field("epoch");
    /** The nodes of a view's chain, head first. */
    public static final MetadataKey<Object> CHAIN = field("chain");
    /** The nodes that vote on views. */
    public static final MetadataKey<Object> VOTERS = field("voters");
    /** The revision of a configuration or of serving rules. */
    public static final MetadataKey<Object> REVISION = field("revision");
    /** What was decided, asked for or found. */
    public static final MetadataKey<Object> OUTCOME = field("outcome");
    /** Why it was. */
    public static final MetadataKey<Object> REASON = field("reason");
    /** How often it happened. */
    public static final MetadataKey<Object> COUNT = field("count");
    /** The id of a request. */
    public static final MetadataKey<Object> REQUEST = field("request");
    /** How many attempts a request took. */
    public static final MetadataKey<Object> ATTEMPTS = field("attempts");
    /** How the last attempt ended. */
    public static final MetadataKey<Object> LAST_ATTEMPT = field("lastAttempt");
    /** Whether the client has got a part of the response. */
    public static final MetadataKey<Object> COMMITTED = field("committed");
    /** Milliseconds since the start. */
    public static final MetadataKey<Object> ELAPSED_MS = field("elapsedMs");
    /** Milliseconds that are left. */
    public static final MetadataKey<Object> REMAINING_MS = field("remainingMs");
    /** Names of settings. */
    public static final MetadataKey<Object> SETTINGS = field("settings");

    private LogField() {}

    private static MetadataKey<Object> field(String name) {
        return MetadataKey.single(name, Object.class);
    }
}
