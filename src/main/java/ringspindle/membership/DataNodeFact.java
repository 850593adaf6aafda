package ringspindle.membership;

import java.nio.ByteBuffer;
import java.util.Arrays;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;

/**
 * A data node as a fact: what its session says, and which control node the session stands with. While that control node
 * is in touch the fact holds without being said again.
 *
 * @param flags as in its last heartbeat, none once the session is gone
 * @param via the control node that holds the session
 * @param hello the greeting with which the data node opened the session
 */
public record DataNodeFact(NodeFlags flags, NodeId via, Hello hello) {
    /** Flags in one byte, then the control node's address, then the greeting as a message. */
    private static final int HELLO_OFFSET = 1 + Long.BYTES;

    /** Reads a fact's value; {@code DataNodeFact.of(fact.value()).hello().zone()}. Throws if it is none. */
    public static DataNodeFact of(byte[] value) {
        ByteBuffer buffer = ByteBuffer.wrap(value);
        NodeFlags flags = NodeFlags.of(Byte.toUnsignedInt(buffer.get()));
        NodeId via = new NodeId(buffer.getLong());
        Hello hello = (Hello) Codec.decode(Arrays.copyOfRange(value, HELLO_OFFSET, value.length));
        return new DataNodeFact(flags, via, hello);
    }

    /** The fact's value; {@code DataNodeFact.of(node.value()).equals(node)}. */
    public byte[] value() {
        byte[] greeting = Codec.encode(hello);
        return ByteBuffer.allocate(HELLO_OFFSET + greeting.length)
                .put((byte) flags.bits())
                .putLong(via.bits())
                .put(greeting)
                .array();
    }

    /** True while the node is shutting down and still takes requests. */
    public boolean servesWhileLeaving() {
        return flags.has(NodeFlags.LEAVING.and(NodeFlags.STILL_SERVING));
    }

    /** True while the node takes requests, and will go on doing so. */
    public boolean ready() {
        return flags.has(NodeFlags.READY) && !flags.has(NodeFlags.LEAVING);
    }
}
