package ringspindle.membership;

import java.util.Collection;
import java.util.List;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/**
 * Sessions of one node with others, told from their heartbeats. All times are of this node's steady clock. Pure; not
 * thread safe.
 */
public interface SessionTable {
    /** The time of a contact that never was. */
    long NEVER_MS = Long.MIN_VALUE / 2;

    /** A peer as last heard. */
    interface Peer {
        /** The greeting with which the peer opened its connection. */
        Hello hello();

        /** The newest heartbeat of the peer. */
        Heartbeat heartbeat();

        /** Both sides heard each other lately, as of the last call that told the time. */
        boolean linked();

        /** When the newest own heartbeat that the peer echoed was sent: it lived then or later. {@link #NEVER_MS} if none. */
        long contactMs();

        /** How many heartbeats came over this connection. */
        long heardN();

        /** True for a control node in touch that is in touch with a majority and does not leave. */
        default boolean serves() {
            NodeFlags flags = heartbeat().flags();
            return hello().kind() == NodeKind.CONTROL
                    && linked()
                    && flags.has(NodeFlags.QUORATE)
                    && !flags.has(NodeFlags.LEAVING);
        }
    }

    /** A wire stands; {@code meet.opened(hello, nowMs)}. */
    void opened(Hello h, long nowMs);

    /** The wire is gone. */
    void closed(NodeId peer);

    /** A beat came. */
    void heard(NodeId from, Heartbeat p, long nowMs);

    /** Tells the time; links are judged as of then. {@code meet.advance(nowMs)} before a question from outside. */
    void advance(long nowMs);

    /** Peers whose wire stands; {@code meet.peers()}. */
    Collection<? extends Peer> peers();

    /** One of them, null if there is none. */
    Peer peer(NodeId id);

    /** Judges silence; returns peers whose connection is to be dropped. {@code meet.beat(nowMs).forEach(mesh::drop)}. */
    List<NodeId> beat(long nowMs);

    /** The heartbeat to send to a peer now; {@code mesh.send(p, meet.heartbeat(p, flags, epoch, seq, digest, nowMs))}. */
    Heartbeat heartbeat(NodeId to, NodeFlags flags, long epoch, long seq, long digest, long nowMs);

    /** True while both heard each other, as far as this node can tell; {@code meet.linked(a, b)}. */
    boolean linked(NodeId a, NodeId b);

    /** {@code SessionTable.forControl(me)} for a control node's sessions. */
    static SessionTable forControl(NodeId me) {
        return new HeartbeatSessionTable(me, false);
    }

    /** {@code SessionTable.forData(me)} for a data node's sessions, which have fewer heartbeats. */
    static SessionTable forData(NodeId me) {
        return new HeartbeatSessionTable(me, true);
    }
}
