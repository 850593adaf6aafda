package ringspindle.telemetry;

/** What a request asks of an engine, as far as sums tell requests apart. */
public enum RequestKind {
    /** No prompt at all. */
    PLAIN,
    /** A prompt that shares little. */
    SHORT,
    /** A prompt with a long shared head: a report, a brief. */
    LONG;

    /** The kind of a request; {@code RequestKind.of(383, 92)} is SHORT. */
    public static RequestKind of(int promptTokens, int sharedTokens) {
        return promptTokens == 0 ? PLAIN : sharedTokens >= 1000 ? LONG : SHORT;
    }
}
