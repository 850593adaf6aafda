package ringspindle.transport;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** Which connection stands for each peer: one at most. Thread safe; calls out to nobody. */
final class PeerConnections {
    /**
     * What became of a connection whose peer greeted.
     *
     * @param admitted false if another one stands and is kept; this one is to be closed
     * @param replaced the one that stood before and is to be closed, null if there was none
     */
    record Admission(boolean admitted, FrameConnection replaced) {
        private static final Admission REJECTED = new Admission(false, null);
    }

    private final NodeId self;
    private final Map<NodeId, FrameConnection> standing = new ConcurrentHashMap<>();

    PeerConnections(NodeId self) {
        this.self = self;
    }

    /** The connection that stands for the peer, null if there is none. */
    FrameConnection get(NodeId peer) {
        return standing.get(peer);
    }

    /** Takes a connection in whose peer greeted; throws {@link FrameException} if a later process of the peer stands. */
    Admission admit(FrameConnection connection, Message.Hello peer) {
        synchronized (standing) {
            FrameConnection stood = standing.get(peer.node());
            if (stood != null && stood.peer().life() > peer.life()) {
                // a late connection of a process that is gone; should it be the clock that went back, the one that
                // stands
                // ends with its process or by its silence, and the next to dial gets through
                throw new FrameException(FrameException.Reason.EARLIER_LIFE, peer.name() + " of life " + peer.life());
            }
            if (stood != null && stood.peer().life() == peer.life() && dialledAtOnce(stood, connection, peer.node())) {
                return Admission.REJECTED;
            }
            connection.admit(peer);
            standing.put(peer.node(), connection);
            return new Admission(true, stood);
        }
    }

    /** Both nodes dialled at once, and the lower address dialled the one that stands: both nodes keep that one. */
    private boolean dialledAtOnce(FrameConnection stood, FrameConnection other, NodeId peer) {
        return dialledByLower(stood, peer) && !dialledByLower(other, peer);
    }

    private boolean dialledByLower(FrameConnection connection, NodeId peer) {
        boolean dialledHere = connection.dialled() != null;
        return dialledHere == self.compareTo(peer) < 0;
    }

    /** Takes a closed connection out; true if it stood for its peer. */
    boolean remove(FrameConnection connection) {
        NodeId peer = connection.peerNode();
        return peer != null && standing.remove(peer, connection);
    }
}
