package ringspindle.protocol;

/** What a {@link BatchMessage.JobMark} says. */
public enum JobMarkKind {
    /** A kind of a newer program. */
    UNKNOWN(0),
    /** The client has ended the job: what is not listed need not run. */
    ENDED(1),
    /** The job is over and old enough: nothing is kept of it. */
    FORGOTTEN(2);

    private static final JobMarkKind[] BY_CODE = values();

    private final int code;

    JobMarkKind(int code) {
        this.code = code;
    }

    /** The number of the constant in messages. */
    public int code() {
        return code;
    }

    /** The constant of that number, {@link #UNKNOWN} if this program does not know it. */
    public static JobMarkKind of(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }
}
