package ringspindle.replication;

import ringspindle.protocol.Message.Call;

/**
 * The kind of a call on the control state, by the code in {@link Call#kind} and in the kind of a replicated operation.
 */
public enum CallKind {
    /** A kind that only a newer release knows; never sent. */
    UNKNOWN(0),
    /** Replaces the configuration. */
    PUT(1),
    /** Changes parts of the configuration. */
    PATCH(2),
    /** Takes a zone or region out of service. */
    EVACUATE(3),
    /** Ends an evacuation. */
    RESTORE(4),
    /** Marks an engine as draining. */
    DRAIN(5),
    /** Marks an engine as gone. */
    GONE(6),
    /** Reads the configuration, or the serving rules with {@link #RULES_ARGUMENT}. */
    READ(7),
    /** Starts, advances or ends a rollout. */
    ROLLOUT(8),
    /** Replaces the serving rules. */
    RULES(9),
    /** Starts, changes, evaluates or ends an experiment. */
    EXPERIMENT(10),
    /** Assigns a shard to storage nodes. */
    SHARD(11),
    /** Requests that a storage node be emptied. */
    RETIRE(12),
    /** Decides the reported counts of a usage window. */
    METER(13),
    /** Starts or ends the rollout of a version of a service's software. */
    VERSION(14);

    /** The argument of a {@link #READ} of the serving rules instead of the configuration. */
    public static final String RULES_ARGUMENT = "rules";

    private static final CallKind[] BY_CODE = values();

    private final int code;

    CallKind(int code) {
        this.code = code;
    }

    /** The code of the kind in messages and on disk. */
    public int code() {
        return code;
    }

    /** Returns the kind for the code, {@link #UNKNOWN} if this release does not know it. */
    public static CallKind of(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }

    /** Creates a call of this kind; {@code base} and {@code argument} are as described at {@link Call}. */
    public Call call(long id, long base, String argument, byte[] body) {
        return new Call(id, code, base, argument, body);
    }

    /** Whether the call is a command that changes the configuration; these calls have a longer timeout. */
    public boolean changesConfiguration() {
        return this == PUT || this == PATCH;
    }
}
