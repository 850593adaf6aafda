package ringspindle.replication;

import ringspindle.protocol.Message.Mark;

/** What a mark of the control state is about, as {@link Mark#kind} numbers it. */
public enum MarkKind {
    /** A kind of a newer program; never written. */
    UNKNOWN(0),
    /** A zone or region; the value is {@code on} while it is out of service, else {@code off}. */
    EVACUATED(1),
    /** An engine that is {@code draining} or {@code gone}. */
    LEAVING(2),
    /** A service's roll-out, as {@link Rollout#write} writes it. */
    ROLLOUT(3),
    /** The serving rules; the key is empty. */
    RULES(4),
    /** An experiment, as {@link ringspindle.experiment.Experiment#write} writes it; the key is its name. */
    EXPERIMENT(5),
    /** Which storage nodes hold a shard, as {@link ringspindle.shard.ShardAssignment#write} writes it; the key is its number. */
    SHARD(6),
    /** A storage node that is to be emptied; the key is its name. */
    RETIREMENT(7),
    /** The last window of usage that was decided on, as {@link MeteredWindow#write} writes it; the key is empty. */
    METERING(8),
    /** The roll-out of a version of a service's software, as {@link VersionRollout#write} writes it; the key is the service. */
    VERSION(9);

    private static final MarkKind[] BY_CODE = values();

    private final int code;

    MarkKind(int code) {
        this.code = code;
    }

    /** The number of the kind in messages and on disk. */
    public int code() {
        return code;
    }

    /** The kind of that mark, {@link #UNKNOWN} if this program does not know it. */
    public static MarkKind of(Mark mark) {
        int code = mark.kind();
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }

    /** True if the mark is of this kind. */
    public boolean matches(Mark mark) {
        return mark.kind() == code;
    }
}
