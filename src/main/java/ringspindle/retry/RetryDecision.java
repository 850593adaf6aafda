package ringspindle.retry;

/** Next step after an attempt has ended. */
public enum RetryDecision {
    /** Try another engine if the retry budget permits. */
    FALLBACK,
    /** Output reached the client; resume after it at another engine if the retry budget permits. */
    RESUME,
    /** Output reached the client and cannot be resumed; abort the response so that the client detects it. */
    BREAK_OFF,
    /** Report to the client that the request has not run. */
    REFUSE,
    /** Report to the client that the request may have run. */
    FAIL,
    /** Do nothing; the action or the attempt has already ended, or the attempt was answered. */
    NOTHING
}
