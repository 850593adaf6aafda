package ringspindle.protocol;

/** What the leader of a shard says of a replica, in {@link ShardMessage.ReplicaRow}. */
public enum ReplicaStanding {
    /** A standing of a newer program. */
    UNKNOWN(0),
    /** A learner that holds all that is committed, and without which nothing is committed from now on. */
    SYNCED(1),
    /** A replica that has not answered for too long and holds up the others. */
    LAGGING(2),
    /** The leader itself: it holds all that was committed, and its disk keeps up. */
    LEADING(3);

    private static final ReplicaStanding[] BY_CODE = values();

    private final int code;

    ReplicaStanding(int code) {
        this.code = code;
    }

    /** The number of the constant in messages. */
    public int code() {
        return code;
    }

    /** The constant of that number, {@link #UNKNOWN} if this program does not know it. */
    public static ReplicaStanding of(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }
}
