package ringspindle.protocol;

/** How an {@link BatchMessage.ItemRun} ended. */
public enum ItemOutcome {
    /** An outcome of a newer program. */
    UNKNOWN(0),
    /** An engine ran it and gave its whole output. */
    COMPLETED(1),
    /** An engine ran it and failed by its own word. */
    FAILED(2),
    /** An engine says that it can never be done. */
    IMPOSSIBLE(3),
    /** The configuration in force has no batch route for it. */
    NO_ROUTE(4),
    /** No engine has room for it now; it did not run. */
    NO_CAPACITY(5),
    /** It may have run, and its output is not whole. */
    BROKEN(6);

    private static final ItemOutcome[] BY_CODE = values();

    private final int code;

    ItemOutcome(int code) {
        this.code = code;
    }

    /** The number of the constant in messages. */
    public int code() {
        return code;
    }

    /** The constant of that number, {@link #UNKNOWN} if this program does not know it. */
    public static ItemOutcome of(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }
}
