package ringspindle.protocol;

/**
 * What a node says of itself with each heartbeat, as a set of flags. There is one value for each set: none is allocated
 * for a message, and equal sets are identical.
 */
public final class NodeFlags {
    private static final int SETS = 256;
    private static final NodeFlags[] BY_BITS = new NodeFlags[SETS];

    static {
        for (int bits = 0; bits < SETS; bits++) {
            BY_BITS[bits] = new NodeFlags(bits);
        }
    }

    /** The empty set; also of a node whose session is gone. */
    public static final NodeFlags NONE = of(0);
    /** The node takes requests. */
    public static final NodeFlags READY = of(1);
    /** The node is shutting down. */
    public static final NodeFlags LEAVING = of(2);
    /** A control node that is in touch with more than half of the voters. */
    public static final NodeFlags QUORATE = of(4);
    /** A control node that has not relearned what was promised; it can neither vote nor hold state. */
    public static final NodeFlags RELEARNING = of(8);
    /** A data node that is shutting down and still takes requests. */
    public static final NodeFlags STILL_SERVING = of(16);

    /** A control node that holds replicated counters and takes messages about them. */
    public static final NodeFlags COUNTERS = of(32);
    /** The node puts messages together that come in fragments. */
    public static final NodeFlags FRAGMENTS = of(64);

    private final int bits;

    private NodeFlags(int bits) {
        this.bits = bits;
    }

    /** The set of those bits, from 0 to 255; bits that this program does not know are kept. */
    public static NodeFlags of(int bits) {
        return BY_BITS[bits];
    }

    /** The bits as they stand in messages, from 0 to 255. */
    public int bits() {
        return bits;
    }

    /** This set if the condition holds, else the empty one; {@code NodeFlags.LEAVING.when(leaving)}. */
    public NodeFlags when(boolean condition) {
        return condition ? this : NONE;
    }

    /** The flags of both sets; {@code NodeFlags.READY.and(NodeFlags.QUORATE)}. */
    public NodeFlags and(NodeFlags other) {
        return of(bits | other.bits);
    }

    /** True if all flags of the other set are in this one; {@code flags.has(NodeFlags.READY)}. */
    public boolean has(NodeFlags flags) {
        return (bits & flags.bits) == flags.bits;
    }

    /** True for the empty set. */
    public boolean isEmpty() {
        return bits == 0;
    }

    /** The bits in hexadecimal; {@code NodeFlags.QUORATE.toString()} is {@code "0x4"}. */
    @Override
    public String toString() {
        return "0x" + Integer.toHexString(bits);
    }
}
