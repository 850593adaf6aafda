package ringspindle.protocol;

/** What a {@link Message.Fact} is about. */
public enum FactKind {
    /** A kind that this program does not know: such a fact is kept and passed on, and means nothing here. */
    UNKNOWN(0),
    /** The fleet's configuration; its version is the revision. */
    CONFIG(1),
    /** Whether a zone is evacuated. */
    EVACUATED(2),
    /** An engine that drains, or is gone. */
    LEAVING(3),
    /** What an engine last said of itself. */
    ENGINE(4),
    /** A data node's session. */
    NODE(5),
    /** The quota lease of the data nodes. */
    LEASE(6),
    /** A rollout of a service. */
    ROLLOUT(7),
    /** How much an engine in turn still runs, as the holder of the rollout duty says. */
    TURN(8),
    /** Whether control nodes hear an engine's heartbeats; rests on the number of the last one. */
    SILENT(9),
    /** The operators' serving rules. */
    RULES(10),
    /** An experiment over routing policies. */
    EXPERIMENT(11),
    /** Which storage nodes hold a shard, as the control state says; the key is the shard's number. */
    SHARD(12),
    /** What a storage node says of itself; the key names the node and its disk. */
    STORAGE(13),
    /** A storage node that is to be emptied; the key is its name. */
    RETIREMENT(14),
    /**
     * Up to which operation of the control state the facts before this one go; its version is that number. Control nodes tell data
     * nodes, and take it from nobody.
     */
    COMMITTED(15),
    /** The roll-out of a version of a service's software; the key is the service. */
    VERSION(16);

    private static final FactKind[] BY_CODE = values();

    private final int code;

    FactKind(int code) {
        this.code = code;
    }

    /** The number of the kind in messages. */
    public int code() {
        return code;
    }

    /** The kind of that number, {@link #UNKNOWN} if this program knows none. */
    public static FactKind of(int code) {
        return code > 0 && code < BY_CODE.length ? BY_CODE[code] : UNKNOWN;
    }
}
