package ringspindle.membership;

import java.nio.ByteBuffer;
import java.util.Arrays;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;

/**
 * A data node as a fact: what its session says, and which control node the session stands with. While that control node
 * is in touch the fact holds without being told again. Pure.
 *
 * @param flags as in its last heartbeat, 0 once the session is gone
 * @param via the control node that holds the session
 */
public record DataNodeFact(int flags, NodeId via, Hello hello) {

    /** Reads a fact's value; {@code DataNodeFact.of(item.value()).hello().zone()}. */
    public static DataNodeFact of(byte[] value) {
        ByteBuffer b = ByteBuffer.wrap(value);
        int flags = b.get();
        NodeId via = new NodeId(b.getLong());
        return new DataNodeFact(flags, via, (Hello) Codec.decode(Arrays.copyOfRange(value, 9, value.length)));
    }

    /** The fact's value; {@code DataNodeFact.of(r.value()).equals(r)}. */
    public byte[] value() {
        byte[] h = Codec.encode(hello);
        return ByteBuffer.allocate(9 + h.length)
                .put((byte) flags)
                .putLong(via.bits())
                .put(h)
                .array();
    }

    /** True while the node takes requests; {@code roster.ready()}. */
    public boolean ready() {
        return (flags & Heartbeat.READY) != 0 && (flags & Heartbeat.LEAVING) == 0;
    }
}
