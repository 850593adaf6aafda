package ringspindle.membership;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/**
 * Sessions of one node with others, judged from their heartbeats. All times are of this node's monotonic clock, in
 * milliseconds. A state machine without clock and socket; not thread safe.
 */
public interface SessionTable {
    /** The time of a contact that never was. */
    long NEVER_MS = Long.MIN_VALUE / 2;

    /** A peer as last heard. */
    interface Peer {
        /** The greeting with which the peer opened its connection. */
        Hello hello();

        /** The newest heartbeat of the peer; number 0 and no flags before the first. */
        Heartbeat heartbeat();

        /** Both sides heard each other lately, as of the last call that passed the time. */
        boolean linked();

        /** When the newest own heartbeat that the peer echoed was sent: it lived then or later. {@link #NEVER_MS} if none. */
        long contactMs();

        /** True for a control node in touch that is in touch with a majority and does not leave. */
        default boolean serves() {
            NodeFlags flags = heartbeat().flags();
            return hello().kind() == NodeKind.CONTROL
                    && linked()
                    && flags.has(NodeFlags.QUORATE)
                    && !flags.has(NodeFlags.LEAVING);
        }
    }

    /** A connection to the peer stands, in place of an earlier one. */
    void opened(Hello hello, long nowMs);

    /** The connection to the peer is gone. */
    void closed(NodeId peer);

    /** A heartbeat came. */
    void received(NodeId from, Heartbeat heartbeat, long nowMs);

    /** Passes the time; links are judged as of then. Called before a question from outside. */
    void advance(long nowMs);

    /** Peers whose connection stands, in order of their addresses. */
    Collection<? extends Peer> peers();

    /** One of them, null if there is none. */
    Peer peer(NodeId node);

    /** Peers that were silent for too long; their connections are to be dropped. {@code sessions.peersToDrop(nowMs).forEach(mesh::drop)}. */
    List<NodeId> peersToDrop(long nowMs);

    /**
     * The heartbeat to send to a peer now; each call makes a new one.
     *
     * @param epoch of the view in force here
     * @param seq the last committed operation known here
     * @param digest of the facts known here
     */
    Heartbeat nextHeartbeat(NodeId to, NodeFlags flags, long epoch, long seq, long digest, long nowMs);

    /** True while both heard each other, as far as this node can tell; one of them may be this node. */
    boolean linked(NodeId one, NodeId other);

    /**
     * Sessions of a control node.
     *
     * @param startNumber a random number: an echo is matched by its number, and may have been meant for an earlier process of this
     *     node
     */
    static SessionTable forControl(NodeId self, long startNumber) {
        return new HeartbeatSessionTable(self, NodeKind.CONTROL, startNumber);
    }

    /** Sessions of a data node, which have fewer heartbeats. */
    static SessionTable forData(NodeId self, long startNumber) {
        return new HeartbeatSessionTable(self, NodeKind.DATA, startNumber);
    }
}
