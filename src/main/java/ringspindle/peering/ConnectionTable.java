package ringspindle.peering;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;

/**
 * Which connection stands for each peer, one at most, and which addresses are being dialled. A connection is dialled or
 * accepted, then its peer greets, then it stands until it is closed or a newer one takes its place. Thread safe; calls out to
 * nobody.
 *
 * <p>A connection whose peer does not greet would block its address for as long as the connection lasts, as an address is not
 * dialled twice at a time. Whoever opens a connection therefore closes it after {@link #GREETING_MS} while
 * {@link #awaitsGreeting} says so.
 *
 * @param <C> the connections, told apart by identity
 */
public final class ConnectionTable<C> {
    /** Default: a peer greets within so many milliseconds of the connection's opening, or the connection is closed. */
    public static final int GREETING_MS = 2000;

    /** A connection that is open; its peer is null until it greeted and the connection was admitted. */
    private static final class Entry {
        final NodeId dialled;
        Hello peer;

        Entry(NodeId dialled) {
            this.dialled = dialled;
        }
    }

    /**
     * What became of a connection whose peer greeted.
     *
     * @param admitted false if another one stands and is kept; this one is to be closed
     * @param replaced the one that stood before and is to be closed
     */
    public record Admission<C>(boolean admitted, Optional<C> replaced) {}

    private final NodeId self;
    private final Set<NodeId> dialling = new HashSet<>();
    private final Map<C, Entry> open = new HashMap<>();
    private final Map<NodeId, C> standing = new HashMap<>();

    /** A table of the node at that address, without connections. */
    public ConnectionTable(NodeId self) {
        this.self = self;
    }

    /**
     * An address is to be dialled; {@link #dialFailed} or {@link #opened} must follow.
     *
     * @return false if it must not be dialled: a connection stands, or it is being dialled already
     */
    public synchronized boolean beginDial(NodeId peer) {
        return !standing.containsKey(peer) && dialling.add(peer);
    }

    /** No connection came of dialling that address. */
    public synchronized void dialFailed(NodeId peer) {
        dialling.remove(peer);
    }

    /**
     * A connection is open, and its peer is to greet.
     *
     * @param dialled the address that this node dialled, null if the connection was accepted
     */
    public synchronized void opened(C connection, NodeId dialled) {
        open.put(connection, new Entry(dialled));
    }

    /** True while the connection is open and its peer has not greeted. */
    public synchronized boolean awaitsGreeting(C connection) {
        Entry entry = open.get(connection);
        return entry != null && entry.peer == null;
    }

    /**
     * The peer of a connection said who it is.
     *
     * @throws FrameException if a connection of a later process of that peer stands: this one was held up on its way
     */
    public synchronized Admission<C> greeted(C connection, Hello peer) {
        Entry entry = open.get(connection);
        if (entry == null) {
            // closed meanwhile by another thread
            return new Admission<>(false, Optional.empty());
        }
        C stood = standing.get(peer.node());
        Entry stoodEntry = open.get(stood);
        if (stood != null && stoodEntry.peer.life() > peer.life()) {
            // should it be the clock that went back, the one that stands ends with its process or by its silence
            throw new FrameException(FrameException.Reason.EARLIER_LIFE, peer.name() + " of life " + peer.life());
        }
        if (stood != null && stoodEntry.peer.life() == peer.life() && dialledAtOnce(stoodEntry, entry, peer.node())) {
            return new Admission<>(false, Optional.empty());
        }
        entry.peer = peer;
        dialling.remove(entry.dialled);
        standing.put(peer.node(), connection);
        return new Admission<>(true, Optional.ofNullable(stood));
    }

    /** Both nodes dialled at once, and the lower address dialled the one that stands: both nodes keep that one. */
    private boolean dialledAtOnce(Entry stood, Entry other, NodeId peer) {
        return dialledByLower(stood, peer) && !dialledByLower(other, peer);
    }

    private boolean dialledByLower(Entry entry, NodeId peer) {
        boolean dialledHere = entry.dialled != null;
        return dialledHere == self.compareTo(peer) < 0;
    }

    /**
     * A connection is closed, also one that failed before it was open; its address may be dialled again.
     *
     * @param dialled the address that this node dialled, null if the connection was accepted
     * @return the peer that is without a connection now, empty if this one did not stand
     */
    public synchronized Optional<NodeId> closed(C connection, NodeId dialled) {
        dialling.remove(dialled);
        Entry entry = open.remove(connection);
        if (entry == null) {
            return Optional.empty();
        }
        boolean stood = entry.peer != null && standing.remove(entry.peer.node(), connection);
        return stood ? Optional.of(entry.peer.node()) : Optional.empty();
    }

    /**
     * True if the connection of a later process of its peer stands, or the connection is closed: what still comes over it is of a
     * process that is gone.
     */
    public synchronized boolean isOutlived(C connection) {
        Entry entry = open.get(connection);
        if (entry == null) {
            return true;
        }
        Entry stood = entry.peer == null ? null : open.get(standing.get(entry.peer.node()));
        return stood != null && stood.peer.life() > entry.peer.life();
    }

    /** The connection that stands for the peer, null if there is none. */
    public synchronized C get(NodeId peer) {
        return standing.get(peer);
    }

    /** The connection that stands for that process of the peer, null if there is none. */
    public synchronized C get(NodeId peer, long life) {
        C stood = standing.get(peer);
        return stood != null && open.get(stood).peer.life() == life ? stood : null;
    }
}
