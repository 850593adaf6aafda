package ringspindle.protocol;

/** What a {@link BatchMessage.JobCall} asks for. */
public enum JobCallKind {
    /** A kind of a newer program. */
    UNKNOWN(0),
    /** Accepts a job; taken once, however often it is sent. */
    SUBMIT(1),
    /** Reads results from a position on. */
    RESULTS(2),
    /** Reads the body of an item that has no result yet. */
    ITEM(3),
    /** Ends a job. */
    END(4);

    private static final JobCallKind[] BY_CODE = values();

    private final int code;

    JobCallKind(int code) {
        this.code = code;
    }

    /** The number of the constant in messages. */
    public int code() {
        return code;
    }

    /** The constant of that number, {@link #UNKNOWN} if this program does not know it. */
    public static JobCallKind of(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }
}
