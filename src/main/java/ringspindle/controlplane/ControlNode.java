package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.Function;
import ringspindle.api.Outcome;
import ringspindle.config.NodeConfig;
import ringspindle.consensus.Connectivity;
import ringspindle.gossip.FactStore;
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
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.Load;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.Message.Report;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.replication.CallKind;
import ringspindle.replication.MarkKind;
import ringspindle.replication.ReplicatedState;
import ringspindle.replication.Rollout;
import ringspindle.rollout.RolloutPlanner;
import ringspindle.telemetry.LoadSummary;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;
import ringspindle.transport.NodeEnvironment;

/** Owner of a control node's state machines: events come in, commands are carried out. */
final class ControlNode implements Mesh.Listener {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    static final int TICK_MS = 100;
    /** Heartbeats to data nodes go out every so many ticks. */
    private static final int DATA_TICKS = 4;

    private static final int CONTROL_TICKS = 2;
    /** Every so many heartbeats that show other facts the two compare what they know. */
    private static final int DIGEST_HEARTBEATS = 16;

    private static final int DIAL_TICKS = 2;
    private static final int ROLL_TICKS = 3;
    private static final int SUM_TICKS = 5;
    private static final int KEEP_TICKS = 20;
    /** So many heartbeats of theirs engines get to be heard after this node was out of touch. */
    private static final int ENGINE_HEARTBEATS = 4;

    private static final byte[] NONE = {};

    /** What a control node waits for before it serves. */
    enum Awaited {
        NOTHING,
        RELEARNING,
        MAJORITY,
        FOUNDING,
        VIEW
    }

    private volatile NodeConfig config;
    private final NodeId me;
    private final MonotonicClock clock;
    private final Mesh mesh;
    private final Executor pool;
    private final Storage storage;

    private final Object chainLock = new Object();
    private final ReplicatedState chain;
    private final PendingCalls calls;

    private final Object bookLock = new Object();
    private final SessionTable meet;
    private final FleetFacts knowledge;
    private final DataNodeDirectory frontends;
    private final LoadAggregator sums;
    private final FactDissemination news;
    private final QuotaLeaseIssuer leases;
    private final LedgerReportStore ledgers = new LedgerReportStore();

    private final RolloutController rollouts;
    private long ticks;
    private volatile boolean leaving;
    private final QuorumTracker proof = new QuorumTracker();
    /** As of the last tick; counts only together with the proof. */
    private volatile boolean current;
    /** The newest committed state, and the seq of the newest whose facts are in the book. */
    private volatile State committed;

    private long mergedSeq = -1;

    ControlNode(NodeConfig config, NodeEnvironment means, Storage storage, EngineReportClient reports)
            throws Exception {
        this.config = config;
        this.storage = storage;
        pool = means.pool();
        clock = means.clock();
        me = NodeId.of(config.ip() + ":" + config.innerPort());
        calls = new PendingCalls(clock, pool, means.chance().getAsLong());
        Hello self = new Hello(
                me,
                means.life(),
                0,
                config.control().orElseThrow().bits(),
                config.name(),
                config.zone(),
                config.region());
        mesh = means.mesh().apply(self);
        meet = SessionTable.forControl(me);
        knowledge = new FleetFacts(config, clock);
        frontends = new DataNodeDirectory(me, meet, knowledge);
        sums = new LoadAggregator(config, self, mesh, meet, knowledge);
        news = new FactDissemination(mesh, meet, knowledge);
        leases = new QuotaLeaseIssuer(me, knowledge, frontends);
        rollouts = new RolloutController(
                reports, (service, body, then) -> call(CallKind.ROLLOUT, 0, service, body, (o, text) -> then.run()));
        List<NodeId> seeds = config.seeds().stream()
                .map(s -> s.at(config.innerPort()))
                .sorted()
                .toList();
        chain = ReplicatedState.create(
                me,
                seeds,
                config.bootstrap(),
                storage.load(),
                means.chance().getAsLong(),
                2 * config.lossesBorne() + 1);
    }

    /** Settings changed while running. */
    void settings(NodeConfig c) {
        config = c;
        synchronized (bookLock) {
            knowledge.settings(c);
            sums.settings(c);
        }
    }

    /** Opens disk and mesh; whoever starts it ticks it every {@link #TICK_MS}. */
    void start() throws Exception {
        synchronized (bookLock) {
            knowledge.merge(storage.engines());
        }
        storage.open(this::stored, this::compact);
        mesh.open(this);
    }

    // ---- calls from outside

    /**
     * Passes a call to the chain, which holds it for a moment while this node is just starting; otherwise the answer is
     * UNCLEAR at once unless a majority is proven to be in touch.
     */
    void call(CallKind kind, long base, String arg, byte[] body, PendingCalls.Answered then) {
        long fromMs = clock.nowMs();
        synchronized (chainLock) {
            long nowMs = clock.nowMs();
            if (proof.inTouch(nowMs) || proof.starting(nowMs)) {
                long id = calls.open(kind, fromMs, then);
                carryOut(chain.call(kind.call(id, base, arg, body), nowMs));
                return;
            }
        }
        then.answer(Outcome.UNCLEAR, NONE);
    }

    /** True while this node is proven to hear of all that is committed, and does not leave. */
    boolean quorate() {
        return current && !leaving && proof.upToDate(clock.nowMs());
    }

    /** True while a majority is proven to be in touch: calls are passed on. */
    boolean inTouch() {
        return proof.inTouch(clock.nowMs());
    }

    /** True while a majority is proven to know of no newer view: facts of this node may be handed out. */
    boolean upToDate() {
        return proof.upToDate(clock.nowMs());
    }

    /** How long ago a majority was last proven, below 0 for never. */
    long provenAgoMs() {
        return proof.ageMs(clock.nowMs());
    }

    /** True while a first start still waits for voters. */
    boolean founding() {
        synchronized (chainLock) {
            return chain.founding(clock.nowMs());
        }
    }

    /** Says that this node leaves; {@link #handedOver} tells when it may end. */
    void leave() {
        leaving = true;
    }

    /** True once the others go on without this node and hold all that is committed here. */
    boolean handedOver() {
        State state;
        View view;
        synchronized (chainLock) {
            state = chain.committed();
            view = chain.view();
        }
        return ShutdownHandover.done(me, view, state == null ? -1 : state.seq(), holders());
    }

    /** What control nodes in touch last said that they hold. */
    List<ShutdownHandover.Holder> holders() {
        List<ShutdownHandover.Holder> holders = new ArrayList<>();
        synchronized (bookLock) {
            meet.advance(clock.nowMs());
            for (SessionTable.Peer p : meet.peers()) {
                Heartbeat newest = p.heartbeat();
                if (p.hello().kind() == NodeKind.CONTROL && p.linked()) {
                    holders.add(new ShutdownHandover.Holder(
                            p.hello().node(),
                            newest.epoch(),
                            newest.seq(),
                            newest.flags().has(NodeFlags.RELEARNING)));
                }
            }
        }
        return holders;
    }

    /** What this node waits for: the first of these that it lacks. */
    Awaited awaited() {
        long nowMs = clock.nowMs();
        boolean blank;
        boolean founding;
        synchronized (chainLock) {
            blank = chain.relearning();
            founding = chain.founding(nowMs);
        }
        if (blank) {
            return Awaited.RELEARNING;
        }
        if (!proof.inTouch(nowMs)) {
            return Awaited.MAJORITY;
        }
        if (founding) {
            return Awaited.FOUNDING;
        }
        return current && proof.upToDate(nowMs) ? Awaited.NOTHING : Awaited.VIEW;
    }

    State committed() {
        synchronized (chainLock) {
            return chain.committed();
        }
    }

    View view() {
        synchronized (chainLock) {
            return chain.view();
        }
    }

    NodeConfig config() {
        return config;
    }

    NodeId me() {
        return me;
    }

    /** Data nodes that take requests, as known here. */
    int ready() {
        synchronized (bookLock) {
            return frontends.ready();
        }
    }

    <T> T book(Function<FactStore, T> f) {
        synchronized (bookLock) {
            return f.apply(knowledge.book());
        }
    }

    /** Milliseconds since a fact last moved, as this node saw it; of engines since they were last heard. */
    long ageMs(FactKind kind, String key) {
        synchronized (bookLock) {
            return knowledge.ageMs(kind, key);
        }
    }

    /** An engine's heartbeat, spread only if it says something new; false if this node cannot vouch for it now. */
    boolean heartbeat(String id, Engine e, long seq) {
        synchronized (bookLock) {
            if (!quorate()) {
                return false;
            }
            knowledge.heartbeat(id, e, seq);
            return true;
        }
    }

    /** The control node an engine of that zone should call: in its zone, else in its region; empty if this one will do. */
    String nearControl(String zone) {
        String region = config.regionOf(zone);
        if (zone.equals(config.zone())) {
            return "";
        }
        synchronized (bookLock) {
            meet.advance(clock.nowMs());
            Hello best = null;
            int bestRank = region.equals(config.region()) ? 1 : 2;
            for (SessionTable.Peer p : meet.peers()) {
                Hello h = p.hello();
                int rank = h.zone().equals(zone) ? 0 : h.region().equals(region) ? 1 : 2;
                if (p.serves() && rank < bestRank) {
                    best = h;
                    bestRank = rank;
                }
            }
            return best == null ? "" : new NodeId(best.front()).toString();
        }
    }

    /**
     * Frontends for a consumer, nearest first. Without a majority only those that this node itself is in touch with: what
     * others told it may be old.
     */
    List<String> frontends(String region, String zone) {
        synchronized (bookLock) {
            long nowMs = clock.nowMs();
            meet.advance(nowMs);
            return frontends.addresses(region, zone, proof.inTouch(nowMs), nowMs);
        }
    }

    // ---- wires

    @Override
    public void opened(Hello peer) {
        long nowMs = clock.nowMs();
        synchronized (bookLock) {
            meet.opened(peer, nowMs);
            sums.opened(peer);
            news.opened(peer.node());
        }
        if (peer.kind() == NodeKind.CONTROL) {
            synchronized (chainLock) {
                carryOut(chain.opened(peer.node(), nowMs));
            }
        }
        heartbeat(peer.node());
    }

    @Override
    public void heard(NodeId from, Message m) {
        long nowMs = clock.nowMs();
        if (m instanceof Heartbeat h) {
            heard(from, h, nowMs);
        } else if (m instanceof News n) {
            FactValidator.check(n.items());
            synchronized (bookLock) {
                knowledge.merge(n.items());
                knowledge.book().markKnown(from, n.items());
            }
        } else if (m instanceof Report r) {
            synchronized (bookLock) {
                sums.reported(from, r, nowMs);
            }
        } else if (m instanceof LedgerReport l) {
            synchronized (bookLock) {
                ledgers.take(from, l);
            }
        } else if (m instanceof Load l) {
            synchronized (bookLock) {
                sums.heard(l, nowMs);
            }
        } else if (m instanceof Digest d) {
            synchronized (bookLock) {
                news.repair(from, d, quorate());
            }
        } else {
            synchronized (chainLock) {
                carryOut(chain.receive(from, m, nowMs));
            }
        }
    }

    private void heard(NodeId from, Heartbeat heartbeat, long nowMs) {
        synchronized (bookLock) {
            FactStore book = knowledge.book();
            meet.heard(from, heartbeat, nowMs);
            SessionTable.Peer peer = meet.peer(from);
            if (peer != null && peer.hello().kind() == NodeKind.DATA) {
                frontends.heard(peer, heartbeat);
            }
            boolean differs = heartbeat.digest() != 0 && heartbeat.digest() != book.digest();
            if (peer != null && differs && peer.heardN() % DIGEST_HEARTBEATS == 0) {
                mesh.send(from, new Digest(book.ranges()));
            }
        }
        if (heartbeat.echo() == 0) {
            // a new connection: the sooner both know that they hear each other, the better
            heartbeat(from);
        }
    }

    @Override
    public void closed(NodeId peer) {
        synchronized (bookLock) {
            SessionTable.Peer p = meet.peer(peer);
            if (p != null && p.hello().kind() == NodeKind.DATA && p.heartbeat().n() > 0) {
                frontends.closed(p);
                sums.closed(peer);
            }
            meet.closed(peer);
            news.closed(peer);
        }
    }

    /** The newest ledgers of nodes that report here, by node. */
    Map<NodeId, List<LedgerReportStore.Life>> ledgers() {
        synchronized (bookLock) {
            return ledgers.all();
        }
    }

    /** Data nodes as known here, and whether their facts still hold. */
    Map<DataNodeFact, Boolean> roster() {
        synchronized (bookLock) {
            return frontends.all(clock.nowMs());
        }
    }

    /** The sums as this node last made them, for the operator. */
    LoadSummary total() {
        synchronized (bookLock) {
            return sums.total();
        }
    }

    // ---- commands of the chain

    private void compact() {
        synchronized (chainLock) {
            storage.take(new ReplicatedState.Out.Store(GroupCommitWriter.COMPACTION, chain.durable(), true));
        }
    }

    private void stored(long token) {
        synchronized (chainLock) {
            carryOut(chain.stored(token, clock.nowMs()));
        }
    }

    private void carryOut(List<ReplicatedState.Out> outs) {
        for (ReplicatedState.Out o : outs) {
            if (o instanceof ReplicatedState.Out.Send s) {
                mesh.send(s.to(), s.message());
            } else if (o instanceof ReplicatedState.Out.Store s) {
                storage.take(s);
            } else if (o instanceof ReplicatedState.Out.Answer a) {
                calls.answered(a);
            } else if (o instanceof ReplicatedState.Out.Committed c) {
                committed = c.state();
                pool.execute(() -> committed(c.state()));
            } else if (o instanceof ReplicatedState.Out.Viewed v) {
                LOG.atInfo().log(
                        "view %s chain %s voters %s",
                        v.view().epoch(), v.view().chain(), v.view().voters());
                if (v.view().voters().size() < 2 * config.lossesBorne() + 1) {
                    LOG.atWarning().log(
                            "%s voters cannot bear the loss of %s disks at once",
                            v.view().voters().size(), config.lossesBorne());
                }
            }
        }
    }

    private void committed(State s) {
        List<Fact> items = new ArrayList<>();
        if (s.config().length > 0) {
            items.add(new Fact(FactKind.CONFIG, "", 0, s.revision(), s.config()));
        }
        for (Mark m : s.marks()) {
            FactKind kind =
                    switch (MarkKind.of(m)) {
                        case EVACUATED -> FactKind.EVACUATED;
                        case LEAVING -> FactKind.LEAVING;
                        case RULES -> FactKind.RULES;
                        default -> FactKind.ROLLOUT;
                    };
            items.add(new Fact(kind, m.key(), 0, m.version(), m.value().getBytes(UTF_8)));
        }
        synchronized (bookLock) {
            knowledge.merge(items);
            mergedSeq = Math.max(mergedSeq, s.seq());
            push();
        }
    }

    // ---- ticks

    void tick() {
        long nowMs = clock.nowMs();
        ticks++;
        Set<NodeId> wanted = new TreeSet<>();
        config.seeds().forEach(s -> wanted.add(s.at(config.innerPort())));
        Set<NodeId> live = new TreeSet<>();
        Map<NodeId, Set<NodeId>> links = new HashMap<>();
        List<NodeId> heartbeatTo = new ArrayList<>();
        synchronized (bookLock) {
            for (NodeId n : meet.beat(nowMs)) {
                pool.execute(() -> mesh.drop(n));
            }
            for (SessionTable.Peer p : meet.peers()) {
                if (p.hello().kind() == NodeKind.CONTROL) {
                    if (p.linked()) {
                        live.add(p.hello().node());
                    }
                    wanted.addAll(p.heartbeat().heard());
                }
                if (ticks % (p.hello().kind() == NodeKind.DATA ? DATA_TICKS : CONTROL_TICKS) == 0 || leaving) {
                    heartbeatTo.add(p.hello().node());
                }
            }
        }
        View view;
        boolean blank;
        synchronized (chainLock) {
            carryOut(chain.tick(nowMs, new LiveConnectivity(live)));
            view = chain.view();
            current = chain.current(nowMs);
            blank = chain.relearning();
        }
        synchronized (bookLock) {
            proof.renew(nowMs, me, blank ? null : view, this::contact);
        }
        if (view != null) {
            wanted.addAll(view.voters());
        }
        if (ticks % DIAL_TICKS == 0) {
            dial(wanted, view);
        }
        heartbeatTo.forEach(this::heartbeat);
        roll(view, nowMs);
        synchronized (bookLock) {
            leases.tick(view, quorate(), ticks, nowMs);
            if (ticks % SUM_TICKS == 0) {
                if (hearsEngines(nowMs)) {
                    knowledge.judgeEngines(nowMs);
                }
                sums.send(nowMs);
            }
            push();
            if (ticks % KEEP_TICKS == 0) {
                storage.keep(knowledge.book().all(FactKind.ENGINE));
            }
        }
    }

    /** One connection for two nodes: the lower address dials, and whoever is not known as a voter yet. */
    private void dial(Set<NodeId> wanted, View view) {
        boolean unknown = view == null || !view.voters().contains(me);
        for (NodeId n : wanted) {
            if ((me.compareTo(n) < 0 || unknown && !me.equals(n)) && !mesh.up(n)) {
                mesh.dial(n);
            }
        }
    }

    /** Who is in touch with whom, for the chain. */
    private final class LiveConnectivity implements Connectivity {
        private final Set<NodeId> live;

        LiveConnectivity(Set<NodeId> live) {
            this.live = live;
        }

        @Override
        public boolean linked(NodeId a, NodeId b) {
            synchronized (bookLock) {
                return meet.linked(a, b);
            }
        }

        @Override
        public Collection<NodeId> live() {
            return live;
        }

        @Override
        public boolean leaving(NodeId n) {
            return n.equals(me) ? leaving : says(n, NodeFlags.LEAVING);
        }

        @Override
        public boolean relearning(NodeId n) {
            return !n.equals(me) && says(n, NodeFlags.RELEARNING);
        }

        private boolean says(NodeId n, NodeFlags flag) {
            synchronized (bookLock) {
                SessionTable.Peer p = meet.peer(n);
                return p != null && p.heartbeat().flags().has(flag);
            }
        }

        @Override
        public String failureDomain(NodeId n) {
            synchronized (bookLock) {
                SessionTable.Peer p = meet.peer(n);
                return n.equals(me)
                        ? config.region()
                        : p == null ? "" : p.hello().region();
            }
        }
    }

    /** What a control node's newest heartbeat proves, null if there is no session. */
    private QuorumTracker.Contact contact(NodeId node) {
        SessionTable.Peer p = meet.peer(node);
        if (p == null) {
            return null;
        }
        Heartbeat newest = p.heartbeat();
        return new QuorumTracker.Contact(
                p.contactMs(), newest.epoch(), newest.flags().has(NodeFlags.RELEARNING));
    }

    /** True once engines had the time to be heard here: a node that was out of touch refused their heartbeats. */
    private boolean hearsEngines(long nowMs) {
        return proof.heldMs(nowMs) >= (long) ENGINE_HEARTBEATS * config.engineBeatMs();
    }

    private void heartbeat(NodeId to) {
        State state;
        View view;
        boolean blank;
        synchronized (chainLock) {
            state = chain.committed();
            view = chain.view();
            blank = chain.relearning();
        }
        NodeFlags flags = (leaving ? NodeFlags.LEAVING : NodeFlags.READY)
                .and(NodeFlags.QUORATE.when(quorate()))
                .and(NodeFlags.RELEARNING.when(blank));
        long epoch = view == null ? 0 : view.epoch();
        long seq = state == null ? -1 : state.seq();
        synchronized (bookLock) {
            mesh.send(to, meet.heartbeat(to, flags, epoch, seq, knowledge.book().digest(), clock.nowMs()));
        }
    }

    /** The head of the view drives roll-outs. */
    private void roll(View view, long nowMs) {
        boolean holder =
                view != null && quorate() && hearsEngines(nowMs) && view.head().equals(me);
        if (!holder || ticks % ROLL_TICKS != 0 || rollouts.ordering()) {
            return;
        }
        List<Rollout> known = book(b -> b.all(FactKind.ROLLOUT).stream()
                .map(i -> Rollout.read(new String(i.value(), UTF_8)))
                .toList());
        rollouts.tick(known, this::members, this::engineAddress, view.epoch(), ticks, nowMs);
    }

    /** The engines of a service, for roll-outs. */
    List<RolloutPlanner.Member> members(String service) {
        synchronized (bookLock) {
            return knowledge.rollMembers(service);
        }
    }

    private String engineAddress(String id) {
        Fact i = book(b -> b.get(FactKind.ENGINE, id));
        return i == null ? null : ((Engine) Codec.decode(i.value())).address();
    }

    /** What an engine said of what it still runs. */
    void reported(String id, int active, int queued) {
        View view = view();
        if (view == null) {
            return;
        }
        String text = active + queued == 0 ? "free to swap" : "still runs " + (active + queued);
        synchronized (bookLock) {
            knowledge.merge(List.of(new Fact(
                    FactKind.TURN,
                    id,
                    view.epoch(),
                    knowledge.nextVersion(FactKind.TURN, id, view.epoch()),
                    text.getBytes(UTF_8))));
        }
    }

    private void push() {
        State state = committed;
        news.push(quorate(), state == null || mergedSeq >= state.seq());
    }

    List<Map<String, Object>> sessions() {
        List<Map<String, Object>> out = new ArrayList<>();
        synchronized (bookLock) {
            for (SessionTable.Peer p : meet.peers()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("name", p.hello().name());
                row.put("kind", p.hello().kind() == NodeKind.CONTROL ? "control" : "data");
                row.put("node", p.hello().node().toString());
                row.put("zone", p.hello().zone());
                row.put("linked", p.linked());
                row.put(
                        "control",
                        p.hello().kind() == NodeKind.CONTROL
                                ? new NodeId(p.hello().front()).toString()
                                : "");
                row.put("ready", p.heartbeat().flags().has(NodeFlags.READY));
                out.add(row);
            }
        }
        return out;
    }
}
