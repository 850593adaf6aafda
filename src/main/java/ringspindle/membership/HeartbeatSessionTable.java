package ringspindle.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/**
 * Sessions in a table. Contact with a peer dates from when the newest own heartbeat that the peer echoed was sent: a
 * heartbeat that was held up on its way, by a cut or by a freeze of either side, proves nothing about the time of its
 * arrival.
 */
final class HeartbeatSessionTable implements SessionTable {
    /** Two control nodes exchange heartbeats every 200 ms: in calm the proven contact is up to 500 ms old. */
    static final int CONTROL_CONTACT_MS = 1100;
    /** A session with a data node has a heartbeat every 400 ms each way: in calm the contact is up to 900 ms old. */
    static final int DATA_CONTACT_MS = 1700;
    /** A peer that was not heard at all for so long is out of touch, however fresh the last contact was. */
    static final int SILENT_MS = 900;
    /** A connection that was silent for so long is dropped. */
    static final int DROP_SILENT_MS = 2 * SILENT_MS;
    /** A connection is dropped so long after its contact has become too old. */
    static final int DROP_AFTER_MS = 900;
    /** Not called for so long, this node itself stood still. */
    static final int STALL_MS = 450;

    /** Every so many heartbeats to a data node name the control nodes in touch. */
    private static final int NAMES_EVERY = 8;

    /** Where numbers begin: below 2^40, as versions of facts are made of them; 0 says that no heartbeat came yet. */
    private static final long START_MASK = (1L << 40) - 1;

    private static final Heartbeat NONE = new Heartbeat(0, 0, NodeFlags.NONE, 0, 0, 0, List.of());

    /** The session with one peer, over one connection. */
    private final class Session implements Peer {
        private final Hello hello;
        private final long openedMs;
        private final int contactLimitMs;
        private final EchoedContact contact = new EchoedContact();
        private Heartbeat newest = NONE;
        private long receivedMs;
        private long sentToDataNode;

        Session(Hello hello) {
            this.hello = hello;
            contactLimitMs = ownKind == NodeKind.CONTROL && isControl() ? CONTROL_CONTACT_MS : DATA_CONTACT_MS;
            openedMs = nowMs;
            receivedMs = nowMs;
        }

        boolean isControl() {
            return hello.kind() == NodeKind.CONTROL;
        }

        void receive(Heartbeat heartbeat) {
            newest = heartbeat;
            receivedMs = nowMs;
            contact.echoed(heartbeat.echo());
        }

        /** Control nodes judge views by the names; a data node only learns whom else it might dial. */
        boolean namesDue() {
            return isControl() || sentToDataNode++ % NAMES_EVERY == 0;
        }

        /** How long nothing was received, not counting that this node itself stood still. */
        private long silentMs() {
            return nowMs - Math.max(receivedMs, resumedMs);
        }

        boolean toDrop() {
            long provenMs = Math.max(Math.max(contact.contactMs(), openedMs), resumedMs);
            return silentMs() > DROP_SILENT_MS || nowMs - provenMs > contactLimitMs + DROP_AFTER_MS;
        }

        boolean names(NodeId node) {
            return newest.heard().contains(node);
        }

        @Override
        public Hello hello() {
            return hello;
        }

        @Override
        public Heartbeat heartbeat() {
            return newest;
        }

        @Override
        public boolean linked() {
            return nowMs - contact.contactMs() < contactLimitMs && silentMs() < SILENT_MS;
        }

        @Override
        public long contactMs() {
            return contact.contactMs();
        }
    }

    private final NodeId self;
    private final NodeKind ownKind;
    private final Map<NodeId, Session> sessions = new TreeMap<>();
    private long nowMs = NEVER_MS;
    /** When this node last went on after it stood still. */
    private long resumedMs = NEVER_MS;

    private long lastSent;

    HeartbeatSessionTable(NodeId self, NodeKind ownKind, long startNumber) {
        this.self = self;
        this.ownKind = ownKind;
        lastSent = startNumber & START_MASK;
    }

    /** After a stall of this node the silence of others is counted anew; their contact is not. */
    @Override
    public void advance(long toMs) {
        if (nowMs != NEVER_MS && toMs - nowMs > STALL_MS) {
            resumedMs = toMs;
        }
        nowMs = Math.max(nowMs, toMs);
    }

    @Override
    public void opened(Hello hello, long atMs) {
        advance(atMs);
        sessions.put(hello.node(), new Session(hello));
    }

    @Override
    public void closed(NodeId peer) {
        sessions.remove(peer);
    }

    @Override
    public void received(NodeId from, Heartbeat heartbeat, long atMs) {
        advance(atMs);
        Session session = sessions.get(from);
        if (session != null) {
            session.receive(heartbeat);
        }
    }

    @Override
    public Collection<? extends Peer> peers() {
        return sessions.values();
    }

    @Override
    public Peer peer(NodeId node) {
        return sessions.get(node);
    }

    @Override
    public List<NodeId> peersToDrop(long atMs) {
        advance(atMs);
        List<NodeId> drop = new ArrayList<>();
        sessions.forEach((node, session) -> {
            if (session.toDrop()) {
                drop.add(node);
            }
        });
        return drop;
    }

    @Override
    public Heartbeat nextHeartbeat(NodeId to, NodeFlags flags, long epoch, long seq, long digest, long atMs) {
        advance(atMs);
        Session session = sessions.get(to);
        long number = ++lastSent;
        if (session == null) {
            return new Heartbeat(number, 0, flags, epoch, seq, digest, linkedControlNodes(session));
        }
        session.contact.sent(number, nowMs);
        List<NodeId> names = session.namesDue() ? linkedControlNodes(session) : List.of();
        return new Heartbeat(number, session.newest.n(), flags, epoch, seq, digest, names);
    }

    /** Control nodes in touch, in order of their addresses; for a data node those near it come first. */
    private List<NodeId> linkedControlNodes(Session to) {
        List<Hello> linked = new ArrayList<>();
        for (Session session : sessions.values()) {
            if (session.isControl() && session.linked()) {
                linked.add(session.hello);
            }
        }
        if (to != null && !to.isControl()) {
            // the sort is stable, so that those equally near stay in order
            linked.sort(Comparator.comparing(node -> Proximity.of(node, to.hello.zone(), to.hello.region())));
        }
        return linked.stream().map(Hello::node).toList();
    }

    @Override
    public boolean linked(NodeId one, NodeId other) {
        if (one.equals(other)) {
            return true;
        }
        if (one.equals(self)) {
            return linked(other);
        }
        return other.equals(self) ? linked(one) : linkedAsTheySay(one, other);
    }

    private boolean linked(NodeId peer) {
        Session session = sessions.get(peer);
        return session != null && session.linked();
    }

    /** Where this node is in touch with both, both must say so; else the one in touch is believed. */
    private boolean linkedAsTheySay(NodeId one, NodeId other) {
        boolean hearsOne = linked(one);
        boolean hearsOther = linked(other);
        boolean oneSays = hearsOne && sessions.get(one).names(other);
        boolean otherSays = hearsOther && sessions.get(other).names(one);
        return hearsOne && hearsOther ? oneSays && otherSays : oneSays || otherSays;
    }
}
