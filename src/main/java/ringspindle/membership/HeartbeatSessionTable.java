package ringspindle.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
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
    /** Heartbeats on their way whose sending times are kept, by connection. */
    static final int IN_FLIGHT_MAX = 64;

    private static final int HEARD_EVERY = 8;
    private static final Heartbeat NONE = new Heartbeat(0, 0, NodeFlags.NONE, 0, 0, 0, List.of());

    private record Sent(long number, long atMs) {}

    private final class Row implements Peer {
        final Hello hello;
        final long openedMs;
        final int contactLimitMs;
        final ArrayDeque<Sent> inFlight = new ArrayDeque<>();
        Heartbeat newest = NONE;
        long heardMs;
        long contactMs = NEVER_MS;
        long sent;
        long heardN;

        Row(Hello hello) {
            this.hello = hello;
            contactLimitMs = data || hello.kind() != NodeKind.CONTROL ? DATA_CONTACT_MS : CONTROL_CONTACT_MS;
            openedMs = nowMs;
            heardMs = nowMs;
        }

        void sent(long number) {
            if (inFlight.size() == IN_FLIGHT_MAX) {
                inFlight.poll();
            }
            inFlight.add(new Sent(number, nowMs));
        }

        void heard(Heartbeat heartbeat) {
            newest = heartbeat;
            heardMs = nowMs;
            heardN++;
            while (!inFlight.isEmpty() && inFlight.peek().number() <= heartbeat.echo()) {
                Sent echoed = inFlight.poll();
                if (echoed.number() == heartbeat.echo()) {
                    contactMs = echoed.atMs();
                }
            }
        }

        /** How long nothing was heard, not counting that this node itself stood still. */
        private long silentMs() {
            return nowMs - Math.max(heardMs, resumedMs);
        }

        boolean toDrop() {
            long provenMs = Math.max(Math.max(contactMs, openedMs), resumedMs);
            return silentMs() > DROP_SILENT_MS || nowMs - provenMs > contactLimitMs + DROP_AFTER_MS;
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
            return nowMs - contactMs < contactLimitMs && silentMs() < SILENT_MS;
        }

        @Override
        public long contactMs() {
            return contactMs;
        }

        @Override
        public long heardN() {
            return heardN;
        }
    }

    private final NodeId me;
    private final boolean data;
    private final Map<NodeId, Row> rows = new TreeMap<>();
    private long nowMs = NEVER_MS;
    private long resumedMs = NEVER_MS;
    private long sentN;

    HeartbeatSessionTable(NodeId me, boolean data) {
        this.me = me;
        this.data = data;
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
    public void opened(Hello h, long atMs) {
        advance(atMs);
        rows.put(h.node(), new Row(h));
    }

    @Override
    public void closed(NodeId peer) {
        rows.remove(peer);
    }

    @Override
    public void heard(NodeId from, Heartbeat heartbeat, long atMs) {
        advance(atMs);
        Row r = rows.get(from);
        if (r != null) {
            r.heard(heartbeat);
        }
    }

    @Override
    public Collection<? extends Peer> peers() {
        return rows.values();
    }

    @Override
    public Peer peer(NodeId id) {
        return rows.get(id);
    }

    @Override
    public List<NodeId> beat(long atMs) {
        advance(atMs);
        List<NodeId> drop = new ArrayList<>();
        rows.forEach((id, r) -> {
            if (r.toDrop()) {
                drop.add(id);
            }
        });
        return drop;
    }

    @Override
    public Heartbeat heartbeat(NodeId to, NodeFlags flags, long epoch, long seq, long digest, long atMs) {
        advance(atMs);
        Row r = rows.get(to);
        long n = ++sentN;
        if (r == null) {
            return new Heartbeat(n, 0, flags, epoch, seq, digest, linkedControls());
        }
        r.sent(n);
        // control nodes judge views by it; a data node only learns whom else it might dial
        boolean names = r.hello.kind() == NodeKind.CONTROL || r.sent++ % HEARD_EVERY == 0;
        return new Heartbeat(n, r.newest.n(), flags, epoch, seq, digest, names ? linkedControls() : List.of());
    }

    private List<NodeId> linkedControls() {
        List<NodeId> linked = new ArrayList<>();
        rows.forEach((id, r) -> {
            if (r.hello.kind() == NodeKind.CONTROL && r.linked()) {
                linked.add(id);
            }
        });
        return linked;
    }

    @Override
    public boolean linked(NodeId a, NodeId b) {
        if (a.equals(b)) {
            return true;
        }
        if (a.equals(me) || b.equals(me)) {
            Row r = rows.get(a.equals(me) ? b : a);
            return r != null && r.linked();
        }
        Row x = rows.get(a);
        Row y = rows.get(b);
        boolean hearsX = x != null && x.linked();
        boolean hearsY = y != null && y.linked();
        boolean xSays = hearsX && x.newest.heard().contains(b);
        boolean ySays = hearsY && y.newest.heard().contains(a);
        return hearsX && hearsY ? xSays && ySays : xSays || ySays;
    }
}
