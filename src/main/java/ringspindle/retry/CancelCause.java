package ringspindle.retry;

/** Why an action ended other than by an engine's answer. None of these says anything of an engine. */
public enum CancelCause {
    /** The client closed its connection. */
    CLIENT_GONE,
    /** The overall deadline came first. */
    OVERALL_DEADLINE,
    /** The node ends. */
    NODE_ENDS,
    /** Nothing more may be tried; the client was told so. */
    GIVEN_UP
}
