package ringspindle.telemetry;

/** What a request asks of an engine, as far as load summaries tell requests apart. */
public enum RequestKind {
    /** No prompt at all. */
    PLAIN(0),
    /** A prompt that shares little. */
    SHORT(1),
    /** A prompt with a long shared prefix: a report, a brief. */
    LONG(2);

    /** Number of kinds; codes are below it. */
    public static final int COUNT = 3;

    private static final int LONG_PREFIX_TOKENS = 1000;

    private final int code;

    RequestKind(int code) {
        this.code = code;
    }

    /** The number of the kind in messages, which also serves as an index: 0 to {@link #COUNT} - 1. */
    public int code() {
        return code;
    }

    /** The kind of a request by the tokens of its prompt and of the prefix that it shares. */
    public static RequestKind of(int promptTokens, int sharedPrefixTokens) {
        if (promptTokens == 0) {
            return PLAIN;
        }
        return sharedPrefixTokens >= LONG_PREFIX_TOKENS ? LONG : SHORT;
    }
}
