package ringspindle.dataplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.gossip.FactStore;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.FactValidator;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.proxy.Proxy;
import ringspindle.replication.Rollout;
import ringspindle.routing.RequestLedger;
import ringspindle.routing.ServingRules;
import ringspindle.telemetry.LoadSummary;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;
import ringspindle.transport.NodeEnvironment;

/** Owner of what a data node knows: sessions with control nodes, gossip with a few other data nodes. */
final class DataNode implements Mesh.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    static final int TICK_MS = 100;
    private static final int CONTROLS = 2;
    /** The ledger goes out every so many ticks. */
    private static final int LEDGER_TICKS = 20;

    private volatile NodeConfig config;
    private final NodeId me;
    private final MonotonicClock clock;
    private final Mesh mesh;
    private final Proxy front;
    private final LoadBalancer picker;
    private final Executor pool;

    private final Object lock = new Object();
    private final FactStore book = FactStore.create();
    private final SessionTable meet;
    private final Set<NodeId> controls = new TreeSet<>();
    private final Map<NodeId, Long> dialledMs = new HashMap<>();
    private final Set<NodeId> confirmedBy = new TreeSet<>();
    private final long life;
    private NodeId collector;
    private long reportSeq;
    private long ledgerSeq;
    private long reportedMs;
    private long ticks;
    private volatile boolean leaving;

    DataNode(NodeConfig config, Proxy front, LoadBalancer picker, NodeEnvironment means) {
        this.config = config;
        this.front = front;
        this.picker = picker;
        pool = means.pool();
        clock = means.clock();
        life = means.life();
        // a data node talks at the second inner port, so that both programs fit on one machine
        me = NodeId.of(config.ip() + ":" + (config.innerPort() + 1));
        mesh = means.mesh()
                .apply(new Hello(
                        me,
                        life,
                        1,
                        config.frontend().orElseThrow().bits(),
                        config.name(),
                        config.zone(),
                        config.region()));
        meet = SessionTable.forData(me);
        config.seeds().forEach(s -> controls.add(s.at(config.innerPort())));
    }

    /** Opens the mesh; whoever starts it ticks it every {@link #TICK_MS}. */
    void start() throws Exception {
        mesh.open(this);
    }

    /** Settings changed while running: new seeds are dialled as need be. */
    void settings(NodeConfig c) {
        synchronized (lock) {
            config = c;
            c.seeds().forEach(s -> controls.add(s.at(c.innerPort())));
        }
    }

    void leave() {
        leaving = true;
        tick();
    }

    @Override
    public void opened(Hello peer) {
        synchronized (lock) {
            meet.opened(peer, clock.nowMs());
            book.resetPeer(peer.node());
            if (peer.kind() == NodeKind.CONTROL) {
                controls.add(peer.node());
            }
            heartbeat(peer.node());
        }
    }

    @Override
    public void heard(NodeId from, Message m) {
        long nowMs = clock.nowMs();
        synchronized (lock) {
            if (m instanceof Heartbeat p) {
                meet.received(from, p, nowMs);
                if (p.echo() == 0) {
                    // a new wire: the sooner both know that they hear each other, the better
                    heartbeat(from);
                }
                controls.addAll(p.heard());
                SessionTable.Peer peer = meet.peer(from);
                if (peer != null && p.digest() != book.digest() && peer.received() % 16 == 0) {
                    mesh.send(from, new Digest(book.ranges()));
                }
            } else if (m instanceof News n) {
                FactValidator.check(n.items());
                List<Fact> fresh = book.merge(n.items());
                book.markKnown(from, n.items());
                apply(fresh, nowMs);
                if (n.full()) {
                    confirmedBy.add(from);
                    if (book.get(FactKind.CONFIG, "") != null) {
                        front.confirm();
                    }
                } else if (!confirmedBy.isEmpty() && book.get(FactKind.CONFIG, "") != null) {
                    front.confirm();
                }
            } else if (m instanceof Load l) {
                picker.updateRegionLoad(l, nowMs);
            } else if (m instanceof Digest d) {
                List<Fact> items = book.differing(d.ranges());
                if (!items.isEmpty()) {
                    mesh.send(from, new News(false, items));
                }
            }
        }
    }

    @Override
    public void closed(NodeId peer) {
        synchronized (lock) {
            meet.closed(peer);
            book.removePeer(peer);
        }
    }

    private void apply(List<Fact> fresh, long nowMs) {
        // what forbids comes before what allows
        for (Fact i : fresh) {
            if (i.kind() == FactKind.LEAVING) {
                picker.markDraining(i.key(), new String(i.value(), UTF_8).equals("gone"), nowMs);
            } else if (i.kind() == FactKind.EVACUATED) {
                picker.setZoneEvacuated(i.key(), new String(i.value(), UTF_8).equals("on"), nowMs);
            } else if (i.kind() == FactKind.ROLLOUT) {
                Rollout r = Rollout.read(new String(i.value(), UTF_8));
                picker.setRolloutTurn(r.service(), new HashSet<>(r.turn()), nowMs);
            } else if (i.kind() == FactKind.LEASE) {
                picker.updateLease((Lease) Codec.decode(i.value()), nowMs);
            }
        }
        for (Fact i : fresh) {
            if (i.kind() == FactKind.CONFIG) {
                Validated<FleetConfig> c = FleetConfig.read(FleetConfig.unpack(i.value()));
                if (c instanceof Validated.Valid<FleetConfig> good) {
                    picker.updateConfiguration(good.value());
                    front.config(good.value());
                    LOG.atInfo().log("configuration %s in force", good.value().revision());
                } else {
                    LOG.atSevere().log("configuration %s cannot be read here", i.version());
                }
            } else if (i.kind() == FactKind.ENGINE) {
                picker.updateEngine(i.key(), (Engine) Codec.decode(i.value()), i.version(), nowMs);
            } else if (i.kind() == FactKind.RULES) {
                if (ServingRules.read(i.value()) instanceof Validated.Valid<ServingRules> good) {
                    front.rules(good.value());
                    LOG.atInfo().log("serving rules %s in force", good.value().revision());
                } else {
                    LOG.atSevere().log("serving rules of seq %s cannot be read here", i.version());
                }
            } else if (i.kind() == FactKind.SILENT) {
                picker.setHeartbeatMissing(i.key(), i.value()[0] == 1, nowMs);
            }
        }
    }

    void tick() {
        long nowMs = clock.nowMs();
        synchronized (lock) {
            ticks++;
            for (NodeId n : meet.peersToDrop(nowMs)) {
                pool.execute(() -> mesh.drop(n));
            }
            if (ticks % 2 == 0) {
                dial(nowMs);
            }
            for (SessionTable.Peer p : meet.peers()) {
                if (ticks % 4 == 0 || leaving) {
                    heartbeat(p.hello().node());
                }
                if (p.hello().kind() == NodeKind.DATA) {
                    List<Fact> items = book.pending(p.hello().node(), 256);
                    if (!items.isEmpty()) {
                        mesh.send(p.hello().node(), new News(false, items));
                    }
                }
            }
        }
        front.probe();
        if (ticks % 5 == 0) {
            front.tidy();
            report(nowMs);
        }
        if (ticks % 100 == 0) {
            LOG.atInfo().log("actions %s", front.ends());
        }
    }

    /** What this node saw goes to one control node, the nearest it has a session with. */
    private void report(long nowMs) {
        synchronized (lock) {
            NodeId best = null;
            int bestRank = Integer.MAX_VALUE;
            for (SessionTable.Peer p : meet.peers()) {
                if (p.serves()) {
                    int rank = (p.hello().zone().equals(config.zone())
                                    ? 0
                                    : p.hello().region().equals(config.region()) ? 2 : 4)
                            + (p.hello().node().equals(collector) ? 0 : 1);
                    if (rank < bestRank) {
                        bestRank = rank;
                        best = p.hello().node();
                    }
                }
            }
            if (collector != null && !collector.equals(best)) {
                // what was said there counts no more
                mesh.send(collector, LoadSummary.NONE.report(life, ++reportSeq));
            }
            collector = best;
            if (best != null && ticks % LEDGER_TICKS == 0) {
                LedgerReport l = front.ledger(life, ++ledgerSeq);
                Set<RequestLedger.Violation> broken = RequestLedger.violations(l);
                if (!broken.isEmpty()) {
                    LOG.atSevere().log("the ledger breaks %s", broken);
                }
                mesh.send(best, l);
            }
            LoadSummary seen = picker.summarizeLoad(nowMs);
            if (best != null && (!seen.equals(LoadSummary.NONE) || nowMs - reportedMs > 1400)) {
                reportedMs = nowMs;
                mesh.send(best, seen.report(life, ++reportSeq));
            }
        }
    }

    /** Keeps sessions with two control nodes that hear all news, and gossip with two other data nodes. */
    private void dial(long nowMs) {
        int good = 0;
        for (SessionTable.Peer p : meet.peers()) {
            good += p.serves() ? 1 : 0;
        }
        if (good < CONTROLS) {
            // at most one new one a time, the nearest first: same machine order for all of a zone, by chance else
            NodeId best = null;
            long bestKey = Long.MAX_VALUE;
            for (NodeId n : controls) {
                Long lastMs = dialledMs.get(n);
                if (mesh.up(n) || lastMs != null && nowMs - lastMs < 250) {
                    continue;
                }
                long key = Math.abs((n.bits() >>> 16) - (me.bits() >>> 16));
                key = lastMs == null ? key : key + lastMs * 1_000_000L;
                if (key < bestKey) {
                    bestKey = key;
                    best = n;
                }
            }
            if (best != null) {
                dialledMs.put(best, nowMs);
                mesh.dial(best);
            }
        }
        // the next data node on the ring; the one before dials here
        NodeId next = null;
        NodeId first = null;
        for (Fact i : book.all(FactKind.NODE)) {
            DataNodeFact r = DataNodeFact.of(i.value());
            if (!r.flags().has(NodeFlags.READY) || !r.hello().region().equals(config.region())) {
                continue;
            }
            NodeId n = NodeId.of(i.key());
            if (n.equals(me)) {
                continue;
            }
            if (first == null || n.compareTo(first) < 0) {
                first = n;
            }
            if (n.compareTo(me) > 0 && (next == null || n.compareTo(next) < 0)) {
                next = n;
            }
        }
        next = next == null ? first : next;
        if (next != null && !mesh.up(next) && nowMs - dialledMs.getOrDefault(next, 0L) > 1000) {
            dialledMs.put(next, nowMs);
            mesh.dial(next);
        }
    }

    private void heartbeat(NodeId to) {
        NodeFlags flags = NodeFlags.READY.when(front.ready()).and(NodeFlags.LEAVING.when(leaving));
        mesh.send(to, meet.nextHeartbeat(to, flags, 0, 0, book.digest(), clock.nowMs()));
    }
}
