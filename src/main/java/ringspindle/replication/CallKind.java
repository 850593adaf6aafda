package ringspindle.replication;

import ringspindle.protocol.Message.Call;

/** What a caller asks of the control state, as {@link Call#kind} and the kind of a replicated operation number it. */
public enum CallKind {
    /** A kind of a newer program; never sent. */
    UNKNOWN(0),
    /** Replaces the configuration. */
    PUT(1),
    /** Changes parts of the configuration. */
    PATCH(2),
    /** Takes a zone or region out of service. */
    EVACUATE(3),
    /** Takes an evacuation back. */
    RESTORE(4),
    /** Notes that an engine drains. */
    DRAIN(5),
    /** Notes that an engine is gone. */
    GONE(6),
    /** Reads the configuration, or the serving rules with {@link #RULES_ARGUMENT}. */
    READ(7),
    /** Starts, steps or ends a roll-out. */
    ROLLOUT(8),
    /** Replaces the serving rules. */
    RULES(9),
    /** Starts, changes, judges or ends an experiment. */
    EXPERIMENT(10),
    /** Assigns a shard to storage nodes. */
    SHARD(11),
    /** Asks for a storage node to be emptied. */
    RETIRE(12),
    /** Decides what is reported of a window of usage. */
    METER(13),
    /** Starts or ends the roll-out of a version of a service's software. */
    VERSION(14);

    /** The argument of a {@link #READ} that asks for the serving rules in place of the configuration. */
    public static final String RULES_ARGUMENT = "rules";

    private static final CallKind[] BY_CODE = values();

    private final int code;

    CallKind(int code) {
        this.code = code;
    }

    /** The number of the kind in messages and on disk. */
    public int code() {
        return code;
    }

    /** The kind of that number, {@link #UNKNOWN} if this program does not know it. */
    public static CallKind of(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }

    /** A call of this kind; {@code base} and {@code argument} as {@link Call} explains them. */
    public Call call(long id, long base, String argument, byte[] body) {
        return new Call(id, code, base, argument, body);
    }

    /** True for orders that change the configuration; their callers wait for longer. */
    public boolean changesConfiguration() {
        return this == PUT || this == PATCH;
    }
}
