package ringspindle.cp;

import com.google.common.flogger.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;
import ringspindle.api.*;
import ringspindle.chain.*;
import ringspindle.conf.*;
import ringspindle.know.*;
import ringspindle.meet.*;
import ringspindle.sum.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/** Owner of a control node's state machines: events come in, commands are carried out. */
final class Control implements Mesh.Ear {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    static final int TICK_MS = 100;
    /** Heartbeats to data nodes go out every so many ticks. */
    private static final int DATA_TICKS = 4;
    private static final int LEASE_TTL_MS = 3000;
    /** Ours: how long a report counts, and a region's sum. */
    private static final int REPORT_TTL_MS = 2000;
    private static final int REGION_TTL_MS = 2500;
    /** Ours: how long a node's fact holds after the control node that told it is out of touch. */
    private static final int VIA_MS = 2000;
    /** How long after a call came in its outcome is told; later nobody waits for it, and what it says may be old. */
    private static final int ANSWER_MS = 1500;
    private static final int ANSWER_CONFIG_MS = 3000;
    /** So many heartbeats of theirs engines get to be heard after this node was out of touch. */
    private static final int ENGINE_HEARTBEATS = 4;
    /** Ours: engines silent for so long are forgotten. */
    private static final int FORGET_MS = 600_000;

    private static final byte[] NONE = {};

    /** What a control node waits for before it serves. */
    enum Awaited {
        NOTHING, RELEARNING, MAJORITY, FOUNDING, VIEW
    }

    /** What comes back of a call. */
    interface Answered {
        void answer(Outcome o, byte[] body);
    }

    private volatile NodeConfig config;
    private final NodeId me;
    private final long life;
    private final Steady clock;
    private final Mesh mesh;
    private final Executor pool;
    private final Storage storage;

    private final Object chainLock = new Object();
    private final Chain chain;
    private final Map<Long, Answered> calls = new ConcurrentHashMap<>();
    private final AtomicLong callIds;

    private final Object bookLock = new Object();
    private final Book book = Book.create();
    private final Meet meet;
    private final Map<String, Long> seenMs = new HashMap<>();
    private final Map<NodeId, Boolean> filled = new HashMap<>();
    private final Map<NodeId, Long> viaLostMs = new HashMap<>();
    private final Presence presence;
    private final Collector sources = new Collector(REPORT_TTL_MS);
    private final Collector peers = new Collector(REPORT_TTL_MS);
    private final Map<String, Long> regionMs = new TreeMap<>();
    private final Map<String, List<RegionLoad>> regions = new TreeMap<>();
    private final Ledgers ledgers = new Ledgers();
    private long sumSeq;
    private Sum total = Sum.NONE;
    private NodeId lastHead;
    private long grantFromMs;
    private final Map<String, RollPlan> plans = new HashMap<>();
    private final Reports reports;
    private volatile boolean rolling;
    private long ticks;
    private volatile boolean leaving;
    private final MajorityProof proof = new MajorityProof();
    /** As of the last tick; counts only together with the proof. */
    private volatile boolean current;
    /** The newest committed state, and the seq of the newest whose facts are in the book. */
    private volatile State committed;
    private long mergedSeq = -1;

    Control(NodeConfig config, Means means, Storage storage, Reports reports) throws Exception {
        this.config = config;
        this.storage = storage;
        this.reports = reports;
        pool = means.pool();
        clock = means.clock();
        life = means.life();
        me = NodeId.of(config.ip() + ":" + config.innerPort());
        // a reply is matched by the number of its call alone, and may come after a restart
        callIds = new AtomicLong(means.chance().getAsLong());
        mesh = means.mesh().apply(new Hello(me, life, 0, config.control().orElseThrow().bits(), config.name(), config.zone(),
                config.region()));
        meet = Meet.forControl(me);
        presence = new Presence(config.engineBeatMs());
        List<NodeId> seeds = config.seeds().stream().map(s -> s.at(config.innerPort())).sorted().toList();
        chain = Chain.create(me, seeds, config.bootstrap(), storage.load(), means.chance().getAsLong(), 2 * config.lossesBorne() + 1);
    }

    /** Settings changed while running. */
    void settings(NodeConfig c) {
        config = c;
    }

    /** Opens disk and mesh; whoever starts it ticks it every {@link #TICK_MS}. */
    void start() throws Exception {
        synchronized (bookLock) {
            merge(storage.engines());
        }
        storage.open(this::stored, this::compact);
        mesh.open(this);
    }

    // ---- calls from outside

    /** Passes a call to the chain; without a majority that is proven to be in touch the answer is UNCLEAR at once. */
    void call(int kind, long base, String arg, byte[] body, Answered then) {
        long fromMs = clock.nowMs();
        int answerMs = kind == Chain.PUT || kind == Chain.PATCH ? ANSWER_CONFIG_MS : ANSWER_MS;
        long id = callIds.incrementAndGet();
        synchronized (chainLock) {
            long nowMs = clock.nowMs();
            if (proof.inTouch(nowMs)) {
                calls.put(id, (outcome, text) -> answerInTime(fromMs + answerMs, outcome, text, then));
                carryOut(chain.call(new Call(id, kind, base, arg, body), nowMs));
                return;
            }
        }
        then.answer(Outcome.UNCLEAR, NONE);
    }

    /** An outcome that comes late, as after a freeze, is no longer told: it may rest on what is old by now. */
    private void answerInTime(long untilMs, Outcome outcome, byte[] text, Answered then) {
        if (clock.nowMs() < untilMs) {
            then.answer(outcome, text);
        } else {
            then.answer(Outcome.UNCLEAR, NONE);
        }
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
        return Handover.done(me, view, state == null ? -1 : state.seq(), holders());
    }

    /** What control nodes in touch last said that they hold. */
    List<Handover.Holder> holders() {
        List<Handover.Holder> holders = new ArrayList<>();
        synchronized (bookLock) {
            meet.advance(clock.nowMs());
            for (Meet.Peer p : meet.peers()) {
                Heartbeat newest = p.heartbeat();
                if (p.hello().kind() == 0 && p.linked()) {
                    holders.add(new Handover.Holder(p.hello().node(), newest.epoch(), newest.seq(), (newest.flags() & Heartbeat.BLANK) != 0));
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
            blank = chain.blank();
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
            int n = 0;
            for (Item i : book.all(Book.NODE)) {
                n += Roster.of(i.value()).ready() ? 1 : 0;
            }
            return n;
        }
    }

    <T> T book(Function<Book, T> f) {
        synchronized (bookLock) {
            return f.apply(book);
        }
    }

    /** Milliseconds since a fact last moved, as this node saw it; of engines since they were last heard. */
    long ageMs(int kind, String key) {
        synchronized (bookLock) {
            if (kind == Book.ENGINE) {
                return presence.agoMs(key, clock.nowMs());
            }
            Long at = seenMs.get(kind + " " + key);
            return at == null ? Long.MAX_VALUE : clock.nowMs() - at;
        }
    }

    /** An engine's heartbeat, spread only if it says something new; false if this node cannot vouch for it now. */
    boolean heartbeat(String id, Engine e, long seq) {
        synchronized (bookLock) {
            if (!quorate()) {
                return false;
            }
            if (presence.heard(id, e, seq, clock.nowMs())) {
                merge(List.of(new Item(Book.ENGINE, id, 0, seq, Codec.encode(e))));
            }
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
            for (Meet.Peer p : meet.peers()) {
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
        List<String> inZone = new ArrayList<>();
        List<String> inRegion = new ArrayList<>();
        List<String> all = new ArrayList<>();
        synchronized (bookLock) {
            long nowMs = clock.nowMs();
            meet.advance(nowMs);
            boolean inTouch = proof.inTouch(nowMs);
            for (Item i : book.all(Book.NODE)) {
                Roster r = Roster.of(i.value());
                if (!r.ready() || !(inTouch ? holds(i, r, nowMs, 3000) : linkedHere(r))) {
                    continue;
                }
                Hello h = r.hello();
                String address = new NodeId(h.front()).toString();
                all.add(address);
                if (h.region().equals(region)) {
                    inRegion.add(address);
                }
                if (h.zone().equals(zone)) {
                    inZone.add(address);
                }
            }
        }
        List<String> out = !inZone.isEmpty() ? inZone : !inRegion.isEmpty() ? inRegion : all;
        return out.size() > 64 ? out.subList(0, 64) : out;
    }

    private boolean linkedHere(Roster r) {
        Meet.Peer p = meet.peer(r.hello().node());
        return p != null && p.linked();
    }

    /** True while the control node that told a fact of a node is in touch, and a moment longer. */
    private boolean holds(Item i, Roster r, long nowMs, int moreMs) {
        Long at = seenMs.get(Book.NODE + " " + i.key());
        if (at != null && nowMs - at < moreMs) {
            return true;
        }
        if (r.via().equals(me)) {
            return linkedHere(r);
        }
        if (meet.linked(me, r.via())) {
            viaLostMs.remove(r.via());
            return true;
        }
        return nowMs - viaLostMs.computeIfAbsent(r.via(), k -> nowMs) < VIA_MS;
    }

    // ---- wires

    @Override
    public void opened(Hello peer) {
        long nowMs = clock.nowMs();
        synchronized (bookLock) {
            meet.opened(peer, nowMs);
            sources.restarted(peer.node(), peer.life());
            peers.restarted(peer.node(), peer.life());
            book.reset(peer.node());
            filled.remove(peer.node());
        }
        if (peer.kind() == 0) {
            synchronized (chainLock) {
                carryOut(chain.opened(peer.node(), nowMs));
            }
        }
        heartbeat(peer.node());
    }

    @Override
    public void heard(NodeId from, Msg m) {
        long nowMs = clock.nowMs();
        if (m instanceof Heartbeat p) {
            synchronized (bookLock) {
                meet.heard(from, p, nowMs);
                Meet.Peer peer = meet.peer(from);
                if (peer != null && peer.hello().kind() == 1) {
                    publish(peer, p, nowMs);
                }
                if (peer != null && p.digest() != 0 && p.digest() != book.digest() && peer.heardN() % 16 == 0) {
                    mesh.send(from, new Digest(book.ranges()));
                }
            }
            if (p.echo() == 0) {
                // a new wire: the sooner both know that they hear each other, the better
                heartbeat(from);
            }
        } else if (m instanceof News n) {
            Facts.check(n.items());
            synchronized (bookLock) {
                merge(n.items());
                book.told(from, n.items());
            }
        } else if (m instanceof Report r) {
            synchronized (bookLock) {
                reported(from, r, nowMs);
            }
        } else if (m instanceof LedgerReport l) {
            synchronized (bookLock) {
                ledgers.take(from, l);
            }
        } else if (m instanceof Load l) {
            synchronized (bookLock) {
                for (RegionLoad g : l.regions()) {
                    if (!g.region().equals(config.region())) {
                        regionMs.put(g.region(), nowMs);
                        regions.put(g.region(), l.regions().stream().filter(x -> x.region().equals(g.region())).toList());
                    }
                }
            }
        } else if (m instanceof Digest d) {
            synchronized (bookLock) {
                List<Item> items = book.differing(d.ranges());
                if (!items.isEmpty() && mayTell(meet.peer(from))) {
                    mesh.send(from, new News(false, items));
                }
            }
        } else {
            synchronized (chainLock) {
                carryOut(chain.on(from, m, nowMs));
            }
        }
    }

    @Override
    public void closed(NodeId peer) {
        synchronized (bookLock) {
            Meet.Peer p = meet.peer(peer);
            if (p != null && p.hello().kind() == 1 && p.heartbeat().n() > 0) {
                merge(List.of(nodeItem(p, 0, p.heartbeat().n() * 2 + 1)));
                sources.drop(peer);
            }
            meet.closed(peer);
            book.drop(peer);
        }
    }

    /** A node's session is told once; told anew if it changes, or if whoever told it is out of touch. */
    private void publish(Meet.Peer peer, Heartbeat p, long nowMs) {
        Item old = book.get(Book.NODE, peer.hello().node().toString());
        Roster was = old == null ? null : Roster.of(old.value());
        boolean same = was != null && was.flags() == p.flags() && was.hello().life() == peer.hello().life()
                && (was.via().equals(me) || meet.linked(me, was.via()));
        if (!same) {
            merge(List.of(nodeItem(peer, p.flags(), p.n() * 2)));
        }
    }

    /** A restart has a new life that must win, though the time of day that lives are drawn from may go back. */
    private Item nodeItem(Meet.Peer peer, int flags, long version) {
        Item old = book.get(Book.NODE, peer.hello().node().toString());
        long ownLife = peer.hello().life();
        long wasLife = old == null ? ownLife : Roster.of(old.value()).hello().life();
        long nodeLife = old == null ? ownLife : wasLife == ownLife ? old.life() : Math.max(ownLife, old.life() + 1);
        return new Item(Book.NODE, peer.hello().node().toString(), nodeLife, version,
                new Roster(flags, me, peer.hello()).value());
    }

    // ---- sums

    private void reported(NodeId from, Report r, long nowMs) {
        Meet.Peer p = meet.peer(from);
        if (p == null || p.hello().life() != r.life()) {
            return;
        }
        Collector of = p.hello().kind() == 1 ? sources : peers;
        Taken t = of.take(from, r, nowMs);
        if (t.refused()) {
            LOG.atWarning().log("report of %s is %s, %s so far", p.hello().name(), t, of.count(t));
            return;
        }
        if (t == Taken.NEWEST && p.hello().kind() == 0) {
            presence.peers(Sum.of(r), nowMs);
            r.sources().forEach(s -> sources.leave(s.node(), s.life(), s.seq()));
        }
    }

    /** Sums go to the region's other control nodes, back to data nodes, and by service to other regions. */
    private void sums(long nowMs) {
        Sum own = sources.sum(nowMs);
        total = own.merge(peers.sum(nowMs));
        sumSeq++;
        Report report = new Report(life, sumSeq, own.report(life, sumSeq).tallies(), presence.own(nowMs), sources.holds(nowMs));
        NodeId speaker = me;
        for (Meet.Peer p : meet.peers()) {
            if (p.hello().kind() == 0 && p.linked() && p.hello().region().equals(config.region())) {
                mesh.send(p.hello().node(), report);
                speaker = p.hello().node().compareTo(speaker) < 0 ? p.hello().node() : speaker;
            }
        }
        List<RegionLoad> mine = Totals.region(total, members(), config.region());
        regions.put(config.region(), mine);
        regionMs.put(config.region(), nowMs);
        regionMs.values().removeIf(at -> nowMs - at > REGION_TTL_MS);
        regions.keySet().retainAll(regionMs.keySet());
        List<RegionLoad> all = new ArrayList<>();
        regions.values().forEach(all::addAll);
        Load back = new Load(life, sumSeq, Totals.engines(total), all);
        Set<NodeId> asking = sources.sources(nowMs);
        for (Meet.Peer p : meet.peers()) {
            if (p.hello().kind() == 1 && asking.contains(p.hello().node())) {
                mesh.send(p.hello().node(), back);
            } else if (p.hello().kind() == 0 && speaker.equals(me) && !p.hello().region().equals(config.region())) {
                mesh.send(p.hello().node(), new Load(life, sumSeq, List.of(), mine));
            }
        }
    }

    private List<Totals.Member> members() {
        List<Totals.Member> out = new ArrayList<>();
        for (Item i : book.all(Book.ENGINE)) {
            Item silent = book.get(Book.SILENT, i.key());
            if ((silent == null || silent.value()[0] == 0) && book.get(Book.LEAVING, i.key()) == null) {
                Engine e = (Engine) Codec.decode(i.value());
                out.add(new Totals.Member(Sum.key(i.key()), e.service(), config.regionOf(e.zone()), e.capacity()));
            }
        }
        return out;
    }

    /** Engines of this region that fell silent or are heard again become facts. */
    private void judgeEngines(long nowMs) {
        for (Presence.Change c : presence.judge(e -> config.regionOf(e.zone()).equals(config.region()), nowMs)) {
            LOG.atInfo().log("engine %s %s", c.id(), c.silent() ? "is silent" : "is heard again");
            merge(List.of(new Item(Book.SILENT, c.id(), 0, 2 * c.seq() + (c.silent() ? 1 : 0), new byte[] {(byte) (c.silent() ? 1 : 0)})));
        }
        for (String id : presence.forget(FORGET_MS, nowMs)) {
            book.forget(Book.ENGINE, id);
            book.forget(Book.SILENT, id);
            seenMs.remove(Book.ENGINE + " " + id);
            seenMs.remove(Book.SILENT + " " + id);
        }
    }

    /** The newest ledgers of nodes that report here, by node. */
    Map<NodeId, List<Ledgers.Life>> ledgers() {
        synchronized (bookLock) {
            return ledgers.all();
        }
    }

    /** Data nodes as known here, and whether their facts still hold. */
    Map<Roster, Boolean> roster() {
        synchronized (bookLock) {
            long nowMs = clock.nowMs();
            Map<Roster, Boolean> out = new LinkedHashMap<>();
            for (Item i : book.all(Book.NODE)) {
                Roster r = Roster.of(i.value());
                out.put(r, r.ready() && holds(i, r, nowMs, 3000));
            }
            return out;
        }
    }

    /** The sums as this node last made them, for the operator. */
    Sum total() {
        synchronized (bookLock) {
            return total;
        }
    }

    private void merge(List<Item> items) {
        long nowMs = clock.nowMs();
        for (Item i : book.merge(items)) {
            seenMs.put(i.kind() + " " + i.key(), nowMs);
            if (i.kind() == Book.ENGINE) {
                presence.told(i.key(), (Engine) Codec.decode(i.value()), i.version(), nowMs);
            } else if (i.kind() == Book.SILENT && i.value()[0] == 1
                    && presence.contradicts(i.key(), (i.version() - 1) / 2, nowMs)) {
                book.merge(List.of(new Item(Book.SILENT, i.key(), 0, 2 * presence.seq(i.key()), new byte[] {0})));
            }
        }
    }

    // ---- commands of the chain

    private void compact() {
        synchronized (chainLock) {
            storage.take(new Chain.Out.Store(DiskThread.COMPACTION, chain.durable(), true));
        }
    }

    private void stored(long token) {
        synchronized (chainLock) {
            carryOut(chain.stored(token, clock.nowMs()));
        }
    }

    private void carryOut(List<Chain.Out> outs) {
        for (Chain.Out o : outs) {
            if (o instanceof Chain.Out.Send s) {
                mesh.send(s.to(), s.m());
            } else if (o instanceof Chain.Out.Store s) {
                storage.take(s);
            } else if (o instanceof Chain.Out.Answer a) {
                Answered then = calls.remove(a.call());
                if (then != null) {
                    pool.execute(() -> then.answer(a.outcome(), a.body()));
                }
            } else if (o instanceof Chain.Out.Committed c) {
                committed = c.state();
                pool.execute(() -> committed(c.state()));
            } else if (o instanceof Chain.Out.Viewed v) {
                LOG.atInfo().log("view %s chain %s voters %s", v.view().epoch(), v.view().chain(), v.view().voters());
                if (v.view().voters().size() < 2 * config.lossesBorne() + 1) {
                    LOG.atWarning().log("%s voters cannot bear the loss of %s disks at once", v.view().voters().size(),
                            config.lossesBorne());
                }
            }
        }
    }

    private void committed(State s) {
        List<Item> items = new ArrayList<>();
        if (s.config().length > 0) {
            items.add(new Item(Book.CONFIG, "", 0, s.revision(), s.config()));
        }
        for (Mark m : s.marks()) {
            int kind = switch (m.kind()) {
                case Chain.MARK_EVACUATED -> Book.EVACUATED;
                case Chain.MARK_LEAVING -> Book.LEAVING;
                case Chain.MARK_RULES -> Book.RULES;
                default -> Book.ROLLOUT;
            };
            items.add(new Item(kind, m.key(), 0, m.version(), m.value().getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        }
        synchronized (bookLock) {
            merge(items);
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
            for (Meet.Peer p : meet.peers()) {
                if (p.hello().kind() == 0) {
                    if (p.linked()) {
                        live.add(p.hello().node());
                    }
                    wanted.addAll(p.heartbeat().heard());
                }
                if (ticks % (p.hello().kind() == 1 ? DATA_TICKS : 2) == 0 || leaving) {
                    heartbeatTo.add(p.hello().node());
                }
            }
        }
        Chain.Reach reach = new Chain.Reach() {
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
                synchronized (bookLock) {
                    Meet.Peer p = meet.peer(n);
                    return n.equals(me) ? leaving : p != null && (p.heartbeat().flags() & Heartbeat.LEAVING) != 0;
                }
            }

            @Override
            public boolean blank(NodeId n) {
                synchronized (bookLock) {
                    Meet.Peer p = meet.peer(n);
                    return !n.equals(me) && p != null && (p.heartbeat().flags() & Heartbeat.BLANK) != 0;
                }
            }

            @Override
            public String place(NodeId n) {
                synchronized (bookLock) {
                    Meet.Peer p = meet.peer(n);
                    return n.equals(me) ? config.region() : p == null ? "" : p.hello().region();
                }
            }
        };
        View view;
        boolean blank;
        synchronized (chainLock) {
            carryOut(chain.beat(nowMs, reach));
            view = chain.view();
            current = chain.current(nowMs);
            blank = chain.blank();
        }
        synchronized (bookLock) {
            proof.renew(nowMs, me, blank ? null : view, this::contact);
        }
        if (view != null) {
            wanted.addAll(view.voters());
        }
        if (ticks % 2 == 0) {
            boolean unknown = view == null || !view.voters().contains(me);
            for (NodeId n : wanted) {
                // one wire for two nodes: the lower address dials, and whoever is not known as a voter yet
                if ((me.compareTo(n) < 0 || unknown && !me.equals(n)) && !mesh.up(n)) {
                    mesh.dial(n);
                }
            }
        }
        heartbeatTo.forEach(this::heartbeat);
        roll(view, nowMs);
        synchronized (bookLock) {
            grant(view, nowMs);
            if (ticks % 5 == 0) {
                if (hearsEngines(nowMs)) {
                    judgeEngines(nowMs);
                }
                sums(nowMs);
            }
            push();
            if (ticks % 20 == 0) {
                storage.keep(book.all(Book.ENGINE));
            }
        }
    }

    /** What a control node's newest heartbeat proves, null if there is no session. */
    private MajorityProof.Contact contact(NodeId node) {
        Meet.Peer p = meet.peer(node);
        if (p == null) {
            return null;
        }
        Heartbeat newest = p.heartbeat();
        return new MajorityProof.Contact(p.contactMs(), newest.epoch(), (newest.flags() & Heartbeat.BLANK) != 0);
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
            blank = chain.blank();
        }
        int flags = (quorate() ? Heartbeat.QUORATE : 0) | (leaving ? Heartbeat.LEAVING : Heartbeat.READY) | (blank ? Heartbeat.BLANK : 0);
        long epoch = view == null ? 0 : view.epoch();
        long seq = state == null ? -1 : state.seq();
        synchronized (bookLock) {
            mesh.send(to, meet.heartbeat(to, flags, epoch, seq, book.digest(), clock.nowMs()));
        }
    }

    /** The holder of the duty grants every data node its share of the budgets. */
    private void grant(View view, long nowMs) {
        if (view == null || !quorate() || !view.head().equals(me)) {
            lastHead = view == null ? lastHead : view.head();
            return;
        }
        if (!me.equals(lastHead)) {
            // what another holder granted has to run out first; at the very first start there was none
            grantFromMs = lastHead == null && view.epoch() == 1 ? nowMs : nowMs + LEASE_TTL_MS + 500;
            lastHead = me;
        }
        if (nowMs < grantFromMs || ticks % 10 != 0) {
            return;
        }
        int nodes = 0;
        for (Item i : book.all(Book.NODE)) {
            Roster r = Roster.of(i.value());
            Long at = seenMs.get(Book.NODE + " " + i.key());
            nodes += r.flags() != 0 || at != null && nowMs - at < 10_000 ? 1 : 0;
        }
        if (nodes > 0) {
            merge(List.of(new Item(Book.LEASE, "", view.epoch(), nextVersion(Book.LEASE, "", view.epoch()),
                    Codec.encode(new Lease(view.epoch(), nodes, LEASE_TTL_MS)))));
        }
    }

    /** The holder of the duty drives roll-outs; without one this costs nothing. */
    private void roll(View view, long nowMs) {
        if (view == null || !quorate() || !hearsEngines(nowMs) || !view.head().equals(me) || ticks % 3 != 0 || rolling) {
            return;
        }
        for (Item i : book(b -> new ArrayList<>(b.all(Book.ROLLOUT)))) {
            Rollout r = Rollout.read(new String(i.value(), java.nio.charset.StandardCharsets.UTF_8));
            List<RollPlan.Member> members = members(r.service());
            if (r.state() == Rollout.Standing.RUNNING && ticks % 6 == 0) {
                r.turn().forEach(id -> reports.ask(id, engineAddress(id)));
            }
            RollPlan.Order o = plans.computeIfAbsent(r.service(), k -> new RollPlan()).next(r, members, nowMs);
            if (o == null) {
                continue;
            }
            LOG.atInfo().log("roll-out of %s: %s %s %s", r.service(), o.order(), o.id(), o.cause());
            String body = jakarta.json.Json.createObjectBuilder().add("order", o.order()).add("id", o.id())
                    .add("cause", o.cause().name()).add("epoch", view.epoch()).build().toString();
            rolling = true;
            call(Chain.ROLLOUT, 0, r.service(), body.getBytes(java.nio.charset.StandardCharsets.UTF_8), (out, text) -> rolling = false);
            return;
        }
    }

    /** The engines of a service, for roll-outs. */
    List<RollPlan.Member> members(String service) {
        List<RollPlan.Member> out = new ArrayList<>();
        synchronized (bookLock) {
            long nowMs = clock.nowMs();
            for (Item i : book.all(Book.ENGINE)) {
                Engine e = (Engine) Codec.decode(i.value());
                long ageMs = presence.agoMs(i.key(), nowMs);
                if (e.service().equals(service) && ageMs < 30_000) {
                    out.add(new RollPlan.Member(i.key(), config.regionOf(e.zone()), e.weights(),
                            e.draining() || book.get(Book.LEAVING, i.key()) != null, ageMs > 3L * config.engineBeatMs()));
                }
            }
        }
        return out;
    }

    private String engineAddress(String id) {
        Item i = book(b -> b.get(Book.ENGINE, id));
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
            merge(List.of(new Item(Book.TURN, id, view.epoch(), nextVersion(Book.TURN, id, view.epoch()),
                    text.getBytes(java.nio.charset.StandardCharsets.UTF_8))));
        }
    }

    /** What a holder of a duty says under its view comes after all that is known to have been said under it. */
    private long nextVersion(int kind, String key, long epoch) {
        Item old = book.get(kind, key);
        return old == null || old.life() != epoch ? 1 : old.version() + 1;
    }

    /** A data node acts on what it is told, so only a node that is proven to be up to date tells it anything. */
    private boolean mayTell(Meet.Peer peer) {
        return peer != null && (peer.hello().kind() == 0 || quorate());
    }

    /** Passes on what peers have not been sent. */
    private void push() {
        State state = committed;
        boolean merged = state == null || mergedSeq >= state.seq();
        for (Meet.Peer p : meet.peers()) {
            NodeId to = p.hello().node();
            if (!mayTell(p)) {
                continue;
            }
            String region = p.hello().region();
            // a data node needs the data nodes of its region, for gossip, and not what engines in turn still run
            List<Item> items = p.hello().kind() == 0 ? book.pending(to, 512) : book.pending(to, 512,
                    i -> i.kind() != Book.TURN && (i.kind() != Book.NODE || Roster.of(i.value()).hello().region().equals(region)));
            boolean first = p.hello().kind() == 1 && !filled.getOrDefault(to, false);
            if (!items.isEmpty() || first && merged) {
                boolean full = first && merged && items.size() < 512;
                if (full) {
                    filled.put(to, true);
                }
                mesh.send(to, new News(full, items));
            }
        }
    }

    List<Map<String, Object>> sessions() {
        List<Map<String, Object>> out = new ArrayList<>();
        synchronized (bookLock) {
            for (Meet.Peer p : meet.peers()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("name", p.hello().name());
                row.put("kind", p.hello().kind() == 0 ? "control" : "data");
                row.put("node", p.hello().node().toString());
                row.put("zone", p.hello().zone());
                row.put("linked", p.linked());
                row.put("control", p.hello().kind() == 0 ? new NodeId(p.hello().front()).toString() : "");
                row.put("ready", (p.heartbeat().flags() & Heartbeat.READY) != 0);
                out.add(row);
            }
        }
        return out;
    }
}
