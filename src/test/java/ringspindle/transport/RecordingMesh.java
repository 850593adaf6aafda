package ringspindle.transport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** A mesh without sockets: all peers count as connected, what is sent is kept, and a test plays the peers. */
public final class RecordingMesh implements Mesh {
    /** A message that was sent to a peer. */
    public record Sent(NodeId to, Message message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final Map<NodeId, Long> lives = new HashMap<>();
    private Listener listener;

    /** The node's listener, to which a test tells what peers do. */
    public Listener listener() {
        return listener;
    }

    /** The messages of a type that were sent to a peer, oldest first. */
    public <M extends Message> List<M> sentTo(NodeId peer, Class<M> type) {
        return sent.stream()
                .filter(each -> each.to().equals(peer) && type.isInstance(each.message()))
                .map(each -> type.cast(each.message()))
                .toList();
    }

    /** The connection to that process stands from now on, whether or not the listener was told. */
    public void admit(NodeId peer, long life) {
        lives.put(peer, life);
    }

    /** Forgets what was sent. */
    public void clear() {
        sent.clear();
    }

    @Override
    public void open(Listener newListener) {
        listener = newListener;
    }

    @Override
    public void dial(NodeId peer) {
        // all peers are connected
    }

    @Override
    public void send(NodeId peer, Message message) {
        sent.add(new Sent(peer, message));
    }

    @Override
    public void send(NodeId peer, long life, Message message) {
        if (lives.getOrDefault(peer, life) == life) {
            send(peer, message);
        }
    }

    @Override
    public int pendingBytes(NodeId peer) {
        return 0;
    }

    @Override
    public boolean connected(NodeId peer) {
        return true;
    }

    @Override
    public void drop(NodeId peer) {
        // no peer is silent here
    }

    @Override
    public void close() {
        // nothing to close
    }
}
