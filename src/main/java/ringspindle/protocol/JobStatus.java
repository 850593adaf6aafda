package ringspindle.protocol;

/** What became of a {@link BatchMessage.JobCall}. */
public enum JobStatus {
    /** A status of a newer program; nothing is known of the call. */
    UNKNOWN(0),
    /** Done as asked, or so already. */
    DONE(1),
    /** There is no such job or item, for certain. */
    NO_SUCH(2),
    /** The job is no proper one; nothing of it is kept. */
    INVALID(3),
    /** The job does not fit what may wait; nothing of it is kept. */
    OVER_QUOTA(4),
    /** There is no room to keep the job; nothing of it is kept. */
    FULL(5),
    /** The node does not lead the shard; nothing was done. */
    NOT_LEADER(6),
    /** The call may have been carried out, or may be yet. */
    UNCLEAR(7);

    private static final JobStatus[] BY_CODE = values();

    private final int code;

    JobStatus(int code) {
        this.code = code;
    }

    /** The number of the constant in messages. */
    public int code() {
        return code;
    }

    /** The constant of that number, {@link #UNKNOWN} if this program does not know it. */
    public static JobStatus of(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }
}
