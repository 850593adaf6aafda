package ringspindle.storage;

import java.io.IOException;

/**
 * Whole records were found that must not be passed over: going on without them could break a promise that other nodes
 * rely on. The files stay as they were. After {@link Reason#UNKNOWN_RECORD} the newer program that wrote them is to be
 * started; after {@link Reason#LOST_SLOT} the folder is to be emptied and the node started with {@code bootstrap=false}, so
 * that it relearns from the others.
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
    private final String file;

    UnreadableStorageException(Reason reason, String file, Throwable cause) {
        super(reason + " in " + file, cause);
        this.reason = reason;
        this.file = file;
    }

    /** Why the file cannot be used. */
    public Reason reason() {
        return reason;
    }

    /** The name of the file, in the disk's folder. */
    public String file() {
        return file;
    }
}
