package ringspindle.replication;

import ringspindle.protocol.Message.Mark;

/** The kind of a mark of the control state, by the code in {@link Mark#kind}. */
public enum MarkKind {
    /** A kind that only a newer release knows; never written. */
    UNKNOWN(0),
    /** A zone or region; the value is {@code on} while it is out of service, else {@code off}. */
    EVACUATED(1),
    /** An engine that is {@code draining} or {@code gone}. */
    LEAVING(2),
    /** A service's rollout, as {@link Rollout#write} writes it. */
    ROLLOUT(3),
    /** The serving rules; the key is empty. */
    RULES(4),
    /** An experiment, as {@link ringspindle.experiment.Experiment#write} writes it; the key is its name. */
    EXPERIMENT(5),
    /**
     * The storage nodes of a shard, as {@link ringspindle.shard.ShardAssignment#write} writes them; the key is its
     * number.
     */
    SHARD(6),
    /** A storage node to be emptied; the key is its name. */
    RETIREMENT(7),
    /** The last usage window that was decided, as {@link MeteredWindow#write} writes it; the key is empty. */
    METERING(8),
    /**
     * The rollout of a version of a service's software, as {@link VersionRollout#write} writes it; the key is the
     * service.
     */
    VERSION(9);

    private static final MarkKind[] BY_CODE = values();

    private final int code;

    MarkKind(int code) {
        this.code = code;
    }

    /** The code of the kind in messages and on disk. */
    public int code() {
        return code;
    }

    /** Returns the kind of the mark, {@link #UNKNOWN} if this release does not know it. */
    public static MarkKind of(Mark mark) {
        int code = mark.kind();
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }

    /** Whether the mark is of this kind. */
    public boolean matches(Mark mark) {
        return mark.kind() == code;
    }
}
