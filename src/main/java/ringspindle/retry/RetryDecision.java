package ringspindle.retry;

/** What is to be done after an attempt. */
public enum RetryDecision {
    /** Another engine may be tried, if the retry budget grants it. */
    FALLBACK,
    /** Output reached the client: go on behind it at another engine, if the retry budget grants it. */
    RESUME,
    /** Output reached the client and cannot go on: break off so that it shows. */
    BREAK_OFF,
    /** Tell the client that the request has not run. */
    REFUSE,
    /** Tell the client that the request may have run. */
    FAIL,
    /** The action is over; do nothing. */
    NOTHING
}
