package ringspindle.meet;

import java.util.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/** Sessions of one node with others, told from their beats. Pure; not thread safe. */
public interface Meet {
    /** A peer as last heard. */
    interface Peer {
        Hello hello();

        Heartbeat heartbeat();

        long heardMs();

        /** Both sides heard each other lately. */
        boolean linked();

        long openedMs();

        /** How many heartbeats came over this connection. */
        long heardN();

        /** True for a control node in touch that is in touch with a majority and does not leave. */
        default boolean serves() {
            int flags = heartbeat().flags();
            return hello().kind() == 0 && linked() && (flags & Heartbeat.QUORATE) != 0 && (flags & Heartbeat.LEAVING) == 0;
        }
    }

    /** A wire stands; {@code meet.opened(hello, nowMs)}. */
    void opened(Hello h, long nowMs);

    /** The wire is gone. */
    void closed(NodeId peer);

    /** A beat came. */
    void heard(NodeId from, Heartbeat p, long nowMs);

    /** Peers whose wire stands; {@code meet.peers()}. */
    Collection<? extends Peer> peers();

    /** One of them, null if there is none. */
    Peer peer(NodeId id);

    /** Judges silence; returns peers whose wire is to be cut. {@code meet.beat(nowMs).forEach(mesh::drop)}. */
    List<NodeId> beat(long nowMs);

    /** The beat to send to a peer; {@code mesh.send(p, meet.heartbeat(p, flags, epoch, seq, digest))}. */
    Heartbeat heartbeat(NodeId to, int flags, long epoch, long seq, long digest);

    /** True while both heard each other, as far as this node can tell; {@code meet.linked(a, b)}. */
    boolean linked(NodeId a, NodeId b);

    /** {@code Meet.create(me, 900)}: a peer silent for 900 ms is out of touch. */
    static Meet create(NodeId me, int silentMs) {
        return new MeetTable(me, silentMs);
    }
}
