package ringspindle.protocol;

/** Which part of the system a node is. */
public enum NodeKind {
    /** A node of the control plane. */
    CONTROL(0),
    /** A node of the data plane. */
    DATA(1),
    /** A node that keeps batch jobs. */
    STORAGE(2),
    /** A kind that this program does not know; never sent. */
    UNKNOWN(255);

    private final int code;

    NodeKind(int code) {
        this.code = code;
    }

    /** The number of the kind in messages. */
    public int code() {
        return code;
    }

    /** The kind of that number, {@link #UNKNOWN} if this program does not know it. */
    public static NodeKind of(int code) {
        return switch (code) {
            case 0 -> CONTROL;
            case 1 -> DATA;
            case 2 -> STORAGE;
            default -> UNKNOWN;
        };
    }
}
