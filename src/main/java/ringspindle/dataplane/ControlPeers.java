package ringspindle.dataplane;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** The control nodes that a node is connected with, and which of them is spoken to. Guarded by its owner. */
final class ControlPeers {
    private final List<NodeId> connected = new ArrayList<>();

    /** A connection to a peer stands; only control nodes count. */
    void opened(Hello peer) {
        if (peer.kind() == NodeKind.CONTROL) {
            connected.remove(peer.node());
            connected.add(peer.node());
        }
    }

    /** The connection to a peer is gone. */
    void closed(NodeId peer) {
        connected.remove(peer);
    }

    /** The one that is spoken to, empty if there is none. */
    Optional<NodeId> current() {
        return connected.stream().findFirst();
    }

    /** From now on the next one is spoken to, if there is another. */
    void rotate() {
        if (connected.size() > 1) {
            connected.add(connected.remove(0));
        }
    }
}
