package ringspindle.cp;

import com.google.common.flogger.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.function.*;
import org.eclipse.jetty.util.thread.*;
import ringspindle.api.*;
import ringspindle.chain.*;
import ringspindle.conf.*;
import ringspindle.disk.*;
import ringspindle.know.*;
import ringspindle.meet.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/** Owner of a control node's state machines: events come in, commands are carried out. */
final class Control implements Mesh.Ear {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int BEAT_MS = 100;
    private static final int SILENT_MS = 900;
    private static final int LICENCE_TTL_MS = 3000;

    /** What comes back of a call. */
    interface Answered {
        void answer(Outcome o, byte[] body);
    }

    private final NodeConfig config;
    private final NodeId me;
    private final long life;
    private final Steady clock = Steady.system();
    private final Mesh mesh;
    private final Executor pool;
    private final org.eclipse.jetty.util.thread.Scheduler beats;
    private final DiskThread disk;
    private final EngineFile engines;

    private final Object chainLock = new Object();
    private final Chain chain;
    private final Map<Long, Answered> calls = new ConcurrentHashMap<>();
    private final AtomicLong callIds;

    private final Object bookLock = new Object();
    private final Book book = Book.create();
    private final Meet meet;
    private final Map<String, Long> seenMs = new HashMap<>();
    private final Map<NodeId, Boolean> filled = new HashMap<>();
    private final Map<NodeId, Long> published = new HashMap<>();
    private NodeId lastHead;
    private long grantFromMs;
    private long licences;
    private final Map<String, RollPlan> plans = new HashMap<>();
    private final Reports reports;
    private volatile boolean rolling;
    private volatile long turns;
    private long ticks;
    private volatile boolean leaving;
    private volatile boolean quorate;

    Control(NodeConfig config, QueuedThreadPool pool, org.eclipse.jetty.util.thread.Scheduler beats) throws Exception {
        this.config = config;
        this.pool = pool;
        this.beats = beats;
        me = NodeId.of(config.ip() + ":" + config.innerPort());
        life = System.currentTimeMillis();
        callIds = new AtomicLong(life << 20);
        Hello hello = new Hello(me, life, 0, 0, config.name(), config.zone(), config.region());
        mesh = Mesh.create(hello, pool, beats);
        meet = Meet.create(me, SILENT_MS);
        Path folder = Path.of(config.dataPath().isEmpty() ? "/tmp/ringspindle" : config.dataPath());
        Disk store = Disk.open(folder);
        engines = new EngineFile(folder.resolve("engines"), pool);
        List<NodeId> seeds = config.seeds().stream().map(s -> s.at(config.innerPort())).sorted().toList();
        chain = Chain.create(me, seeds, config.bootstrap(), store.load(), life);
        reports = new Reports(pool, beats, this::reported);
        disk = new DiskThread(store, this::stored, () -> {
            synchronized (chainLock) {
                return chain.durable();
            }
        });
    }

    void start() throws Exception {
        synchronized (bookLock) {
            merge(engines.load());
        }
        Thread t = new Thread(disk, "disk");
        t.setDaemon(true);
        t.start();
        mesh.open(this);
        beat();
    }

    // ---- calls from outside

    void call(int kind, long base, String arg, byte[] body, Answered then) {
        long id = callIds.incrementAndGet();
        calls.put(id, then);
        synchronized (chainLock) {
            carryOut(chain.call(new Call(id, kind, base, arg, body), clock.nowMs()));
        }
    }

    boolean quorate() {
        return quorate;
    }

    void leave() {
        leaving = true;
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

    <T> T book(Function<Book, T> f) {
        synchronized (bookLock) {
            return f.apply(book);
        }
    }

    /** Milliseconds since a fact last moved, as this node saw it. */
    long ageMs(int kind, String key) {
        synchronized (bookLock) {
            Long at = seenMs.get(kind + " " + key);
            return at == null ? Long.MAX_VALUE : clock.nowMs() - at;
        }
    }

    void tell(Item item) {
        synchronized (bookLock) {
            merge(List.of(item));
        }
    }

    /** Frontends for a consumer, nearest first. */
    List<String> frontends(String region, String zone) {
        List<String> inZone = new ArrayList<>();
        List<String> inRegion = new ArrayList<>();
        List<String> all = new ArrayList<>();
        synchronized (bookLock) {
            long nowMs = clock.nowMs();
            for (Item i : book.all(Book.NODE)) {
                if ((i.value()[0] & Pulse.READY) == 0 || (i.value()[0] & Pulse.LEAVING) != 0) {
                    continue;
                }
                Long at = seenMs.get(Book.NODE + " " + i.key());
                if (at == null || nowMs - at > 3000) {
                    continue;
                }
                Hello h = hello(i);
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

    static Hello hello(Item i) {
        return (Hello) Codec.decode(Arrays.copyOfRange(i.value(), 1, i.value().length));
    }

    // ---- wires

    @Override
    public void opened(Hello peer) {
        long nowMs = clock.nowMs();
        synchronized (bookLock) {
            meet.opened(peer, nowMs);
            book.reset(peer.node());
            filled.remove(peer.node());
        }
        if (peer.kind() == 0) {
            synchronized (chainLock) {
                carryOut(chain.opened(peer.node(), nowMs));
            }
        }
        pulse(peer.node());
    }

    @Override
    public void heard(NodeId from, Msg m) {
        long nowMs = clock.nowMs();
        if (m instanceof Pulse p) {
            synchronized (bookLock) {
                meet.heard(from, p, nowMs);
                Meet.Peer peer = meet.peer(from);
                if (peer != null && peer.hello().kind() == 1) {
                    publish(peer, p, nowMs);
                }
                if (p.digest() != 0 && p.digest() != book.digest() && p.n() % 16 == 0) {
                    mesh.send(from, new Digest(book.ranges()));
                }
            }
            if (p.echo() == 0) {
                // a new wire: the sooner both know that they hear each other, the better
                pulse(from);
            }
        } else if (m instanceof News n) {
            synchronized (bookLock) {
                merge(n.items());
                book.told(from, n.items());
            }
        } else if (m instanceof Digest d) {
            synchronized (bookLock) {
                List<Item> items = book.differing(d.ranges());
                if (!items.isEmpty()) {
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
            if (p != null && p.hello().kind() == 1 && p.pulse().n() > 0) {
                merge(List.of(nodeItem(p, 0, p.pulse().n() * 2 + 1)));
            }
            meet.closed(peer);
            book.drop(peer);
        }
    }

    private void publish(Meet.Peer peer, Pulse p, long nowMs) {
        NodeId id = peer.hello().node();
        Item old = book.get(Book.NODE, id.toString());
        boolean same = old != null && old.value()[0] == (byte) p.flags() && hello(old).life() == peer.hello().life();
        if (same && nowMs - published.getOrDefault(id, Long.MIN_VALUE / 2) < 700) {
            return;
        }
        published.put(id, nowMs);
        merge(List.of(nodeItem(peer, p.flags(), p.n() * 2)));
    }

    /** A restart has a new life that must win, though the time of day that lives are drawn from may go back. */
    private Item nodeItem(Meet.Peer peer, int flags, long version) {
        Item old = book.get(Book.NODE, peer.hello().node().toString());
        long ownLife = peer.hello().life();
        long nodeLife = old == null ? ownLife
                : hello(old).life() == ownLife ? old.life() : Math.max(ownLife, old.life() + 1);
        byte[] h = Codec.encode(peer.hello());
        byte[] value = new byte[h.length + 1];
        value[0] = (byte) flags;
        System.arraycopy(h, 0, value, 1, h.length);
        return new Item(Book.NODE, peer.hello().node().toString(), nodeLife, version, value);
    }

    private void merge(List<Item> items) {
        long nowMs = clock.nowMs();
        for (Item i : book.merge(items)) {
            seenMs.put(i.kind() + " " + i.key(), nowMs);
        }
    }

    // ---- commands of the chain

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
                disk.take(s);
            } else if (o instanceof Chain.Out.Answer a) {
                Answered then = calls.remove(a.call());
                if (then != null) {
                    pool.execute(() -> then.answer(a.outcome(), a.body()));
                }
            } else if (o instanceof Chain.Out.Committed c) {
                pool.execute(() -> committed(c.state()));
            } else if (o instanceof Chain.Out.Viewed v) {
                LOG.atInfo().log("view %s chain %s voters %s", v.view().epoch(), v.view().chain(), v.view().voters());
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
                default -> Book.ROLLOUT;
            };
            items.add(new Item(kind, m.key(), 0, m.version(), m.value().getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        }
        synchronized (bookLock) {
            merge(items);
            push();
        }
    }

    // ---- beats

    private void beat() {
        try {
            tick();
        } catch (RuntimeException x) {
            LOG.atSevere().withCause(x).log("beat fails");
        }
        beats.schedule(this::beat, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        long nowMs = clock.nowMs();
        ticks++;
        Set<NodeId> wanted = new TreeSet<>();
        config.seeds().forEach(s -> wanted.add(s.at(config.innerPort())));
        Set<NodeId> live = new TreeSet<>();
        Map<NodeId, Set<NodeId>> links = new HashMap<>();
        List<NodeId> pulseTo = new ArrayList<>();
        synchronized (bookLock) {
            for (NodeId n : meet.beat(nowMs)) {
                pool.execute(() -> mesh.drop(n));
            }
            for (Meet.Peer p : meet.peers()) {
                if (p.hello().kind() == 0) {
                    if (p.linked()) {
                        live.add(p.hello().node());
                    }
                    wanted.addAll(p.pulse().heard());
                }
                pulseTo.add(p.hello().node());
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
        };
        View view;
        synchronized (chainLock) {
            carryOut(chain.beat(nowMs, reach));
            view = chain.view();
            quorate = chain.current(nowMs) && !leaving;
        }
        if (view != null) {
            wanted.addAll(view.voters());
        }
        if (ticks % 2 == 0) {
            for (NodeId n : wanted) {
                // one wire for two nodes: the lower address dials
                if (me.compareTo(n) < 0 && !mesh.up(n)) {
                    mesh.dial(n);
                }
            }
        }
        if (ticks % 2 == 0) {
            pulseTo.forEach(this::pulse);
        }
        roll(view, nowMs);
        synchronized (bookLock) {
            grant(view, nowMs);
            push();
            if (ticks % 20 == 0) {
                engines.keep(book.all(Book.ENGINE));
            }
        }
    }

    private void pulse(NodeId to) {
        State s = committed();
        View v = view();
        synchronized (bookLock) {
            int flags = (quorate ? Pulse.QUORATE : 0) | (leaving ? Pulse.LEAVING : Pulse.READY);
            mesh.send(to, meet.pulse(to, flags, v == null ? 0 : v.epoch(), s == null ? -1 : s.seq(), book.digest()));
        }
    }

    /** The holder of the duty grants every data node its share of the budgets. */
    private void grant(View view, long nowMs) {
        if (view == null || !quorate || !view.head().equals(me)) {
            lastHead = view == null ? lastHead : view.head();
            return;
        }
        if (!me.equals(lastHead)) {
            // what another holder granted has to run out first; at the very first start there was none
            grantFromMs = lastHead == null && view.epoch() == 1 ? nowMs : nowMs + LICENCE_TTL_MS + 500;
            lastHead = me;
        }
        if (nowMs < grantFromMs || ticks % 5 != 0) {
            return;
        }
        int nodes = 0;
        for (Item i : book.all(Book.NODE)) {
            Long at = seenMs.get(Book.NODE + " " + i.key());
            nodes += at != null && nowMs - at < 10_000 ? 1 : 0;
        }
        if (nodes > 0) {
            merge(List.of(new Item(Book.LICENCE, "", view.epoch(), ++licences,
                    Codec.encode(new Licence(view.epoch(), nodes, LICENCE_TTL_MS, 0)))));
        }
    }

    /** The holder of the duty drives roll-outs; without one this costs nothing. */
    private void roll(View view, long nowMs) {
        if (view == null || !quorate || !view.head().equals(me) || ticks % 3 != 0 || rolling) {
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
                long ageMs = nowMs - seenMs.getOrDefault(Book.ENGINE + " " + i.key(), 0L);
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

    private void reported(String id, int active, int queued) {
        tell(new Item(Book.TURN, id, life, ++turns, (active + queued == 0 ? "free to swap" : "still runs " + (active + queued))
                .getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    /** Passes on what peers have not been sent. */
    private void push() {
        for (Meet.Peer p : meet.peers()) {
            NodeId to = p.hello().node();
            if (p.hello().kind() == 1 && !quorate) {
                continue;
            }
            List<Item> items = book.pending(to, 512);
            boolean first = p.hello().kind() == 1 && !filled.getOrDefault(to, false);
            if (!items.isEmpty() || first) {
                boolean full = first && items.size() < 512;
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
                row.put("ready", (p.pulse().flags() & Pulse.READY) != 0);
                out.add(row);
            }
        }
        return out;
    }
}
