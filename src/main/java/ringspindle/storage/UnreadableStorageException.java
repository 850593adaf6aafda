package ringspindle.storage;

import java.io.IOException;

/**
 * Whole records were found that must not be passed over: going on without them could break a vote that was told. The
 * files stay as they were.
 */
public final class UnreadableStorageException extends IOException {
    private static final long serialVersionUID = 1;

    /** Why a file cannot be used. */
    public enum Reason {
        /** A whole record of a kind, schema or version that this program does not know. */
        UNKNOWN_RECORD,
        /** A log says that there was a newer slot than those that can be read. */
        LOST_SLOT
    }

    private final Reason reason;

    UnreadableStorageException(Reason reason, String file, Throwable cause) {
        super(reason + " in " + file, cause);
        this.reason = reason;
    }

    /** Why; {@code if (x.reason() == Reason.UNKNOWN_RECORD) ...}. */
    public Reason reason() {
        return reason;
    }
}
