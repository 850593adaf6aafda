package ringspindle.protocol;

/** What came over a connection or stands on disk is no message that this program can read; it has changed nothing. */
public final class FrameException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** What is wrong with it. */
    public enum Reason {
        /** It is longer than any message, or says that a part of it is. */
        OVERSIZED,
        /** It is of another schema. */
        FOREIGN_SCHEMA,
        /** It is of another version of the schema, or its fixed part has another length. */
        FOREIGN_VERSION,
        /** There is no message of that template. */
        UNKNOWN_TEMPLATE,
        /** It breaks off, or its parts do not fit together. */
        GARBLED,
        /** Something else came before the peer said who it is. */
        NO_HELLO,
        /** The peer's connection is of an earlier incarnation than the one that stands. */
        EARLIER_LIFE
    }

    private final Reason reason;

    /** {@code new FrameException(Reason.NO_HELLO, "a heartbeat came first")}. */
    public FrameException(Reason reason, String detail) {
        this(reason, detail, null);
    }

    /** The same with what it follows from, null if there is nothing. */
    public FrameException(Reason reason, String detail, Throwable cause) {
        super(reason + ": " + detail, cause);
        this.reason = reason;
    }

    /** Why the bytes were refused; they changed nothing. */
    public Reason reason() {
        return reason;
    }
}
