package ringspindle.membership;

import java.nio.ByteBuffer;
import java.util.Arrays;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;

/**
 * A data node as a fact: what its session says, and which control node the session stands with. While that control node
 * is in touch the fact holds without being told again. Pure.
 *
 * @param flags as in its last heartbeat, none once the session is gone
 * @param via the control node that holds the session
 */
public record DataNodeFact(NodeFlags flags, NodeId via, Hello hello) {

    /** Reads a fact's value; {@code DataNodeFact.of(item.value()).hello().zone()}. */
    public static DataNodeFact of(byte[] value) {
        ByteBuffer b = ByteBuffer.wrap(value);
        NodeFlags flags = NodeFlags.of(Byte.toUnsignedInt(b.get()));
        NodeId via = new NodeId(b.getLong());
        return new DataNodeFact(flags, via, (Hello) Codec.decode(Arrays.copyOfRange(value, 9, value.length)));
    }

    /** The fact's value; {@code DataNodeFact.of(r.value()).equals(r)}. */
    public byte[] value() {
        byte[] h = Codec.encode(hello);
        return ByteBuffer.allocate(9 + h.length)
                .put((byte) flags.bits())
                .putLong(via.bits())
                .put(h)
                .array();
    }

    /** True while the node takes requests; {@code roster.ready()}. */
    public boolean ready() {
        return flags.has(NodeFlags.READY) && !flags.has(NodeFlags.LEAVING);
    }
}
