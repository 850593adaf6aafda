package ringspindle.meet;

import java.util.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/** Sessions in a table. */
final class MeetTable implements Meet {
    private static final int HEARD_EVERY = 8;
    private static final Heartbeat NONE = new Heartbeat(0, 0, 0, 0, 0, 0, List.of());

    private static final class Row implements Peer {
        final Hello hello;
        final long openedMs;
        Heartbeat pulse = NONE;
        long heardMs;
        long echoMs;
        boolean linked;
        long echoedN;
        long sent;
        long heardN;

        Row(Hello hello, long nowMs) {
            this.hello = hello;
            openedMs = nowMs;
            heardMs = nowMs;
            echoMs = nowMs;
        }

        @Override
        public Hello hello() {
            return hello;
        }

        @Override
        public Heartbeat heartbeat() {
            return pulse;
        }

        @Override
        public long heardMs() {
            return heardMs;
        }

        @Override
        public boolean linked() {
            return linked;
        }

        @Override
        public long openedMs() {
            return openedMs;
        }

        @Override
        public long heardN() {
            return heardN;
        }
    }

    private final NodeId me;
    private final int silentMs;
    private final Map<NodeId, Row> rows = new TreeMap<>();
    private long lastMs = -1;
    private long sentN;

    MeetTable(NodeId me, int silentMs) {
        this.me = me;
        this.silentMs = silentMs;
    }

    @Override
    public void opened(Hello h, long nowMs) {
        rows.put(h.node(), new Row(h, nowMs));
    }

    @Override
    public void closed(NodeId peer) {
        rows.remove(peer);
    }

    @Override
    public void heard(NodeId from, Heartbeat p, long nowMs) {
        Row r = rows.get(from);
        if (r == null) {
            return;
        }
        r.pulse = p;
        r.heardMs = nowMs;
        r.heardN++;
        if (p.echo() > r.echoedN) {
            r.echoedN = p.echo();
            r.echoMs = nowMs;
        }
        r.linked = r.echoedN > 0 && nowMs - r.echoMs < silentMs;
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
    public List<NodeId> beat(long nowMs) {
        // after a freeze of this node nothing can be said of the others
        boolean frozen = lastMs >= 0 && nowMs - lastMs > silentMs / 2;
        lastMs = nowMs;
        List<NodeId> cut = new ArrayList<>();
        for (Map.Entry<NodeId, Row> e : rows.entrySet()) {
            Row r = e.getValue();
            if (frozen) {
                r.heardMs = Math.max(r.heardMs, nowMs - silentMs / 2);
                r.echoMs = Math.max(r.echoMs, nowMs - silentMs / 2);
            }
            r.linked = r.echoedN > 0 && nowMs - r.heardMs < silentMs && nowMs - r.echoMs < silentMs + 200;
            if (nowMs - r.heardMs > silentMs * 2L || nowMs - r.echoMs > silentMs * 2L + 200) {
                cut.add(e.getKey());
            }
        }
        return cut;
    }

    @Override
    public Heartbeat heartbeat(NodeId to, int flags, long epoch, long seq, long digest) {
        Row r = rows.get(to);
        long n = ++sentN;
        List<NodeId> heard = new ArrayList<>();
        if (r == null || r.hello.kind() == 0 || r.sent++ % HEARD_EVERY == 0) {
            // control nodes judge views by it; a data node only learns whom else it might dial
            rows.forEach((k, v) -> {
                if (v.hello.kind() == 0 && v.linked) {
                    heard.add(k);
                }
            });
        }
        return new Heartbeat(n, r == null ? 0 : r.pulse.n(), flags, epoch, seq, digest, heard);
    }

    @Override
    public boolean linked(NodeId a, NodeId b) {
        if (a.equals(b)) {
            return true;
        }
        if (a.equals(me) || b.equals(me)) {
            Row r = rows.get(a.equals(me) ? b : a);
            return r != null && r.linked;
        }
        Row x = rows.get(a);
        Row y = rows.get(b);
        boolean xSays = x != null && x.linked && x.pulse.heard().contains(b);
        boolean ySays = y != null && y.linked && y.pulse.heard().contains(a);
        return x != null && x.linked && y != null && y.linked ? xSays && ySays : xSays || ySays;
    }
}
