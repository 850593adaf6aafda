package ringspindle.retry;

/** Why an action ended without a response from an engine. No cause counts as a failure of an engine. */
public enum CancelCause {
    /** The client closed its connection. */
    CLIENT_GONE,
    /** The overall deadline passed. */
    OVERALL_DEADLINE,
    /** The node is shutting down. */
    NODE_ENDS,
    /** No further attempt is allowed, and the client was notified. */
    GIVEN_UP
}
