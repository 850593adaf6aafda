package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** A simulated core over the real chain machines: delays, cuts, freezes, power loss, lost disks. All from one seed. */
final class ChainSimulation {
    /** What callers and nodes saw, for checking after the fact. */
    static final class History {
        record Acked(long base, long revision, long atMs) {}

        final List<Acked> acked = new ArrayList<>();
        final Map<Long, String> sent = new TreeMap<>();
        final Map<Long, Long> revisionOfSeq = new TreeMap<>();
        final List<String> wrong = new ArrayList<>();
        /** What was acknowledged last of each zone, and every engine whose leaving was. */
        final Map<String, String> evacuations = new TreeMap<>();

        final Set<String> leaving = new TreeSet<>();
        final Map<String, String> marksAtEnd = new TreeMap<>();
        /** The newest serving rules that were acknowledged, and who won on which base. */
        long rules;

        final Map<Long, Long> rulesWinner = new TreeMap<>();
        /** The target of the roll-out that was acknowledged last, and whether it was given up since. */
        long rollTarget = -1;

        boolean rollAborted;
        long readBack = -1;
        String readBody;
        int refused;

        /** Names every broken promise. */
        List<String> problems() {
            List<String> out = new ArrayList<>(wrong);
            Map<Long, Long> winner = new TreeMap<>();
            long newest = 0;
            for (Acked a : acked) {
                Long other = winner.put(a.base(), a.revision());
                if (other != null && other != a.revision()) {
                    out.add("two winners on " + a.base() + ": " + other + " and " + a.revision());
                }
                newest = Math.max(newest, a.revision());
            }
            evacuations.forEach((zone, value) -> {
                if (!value.equals(marksAtEnd.get(MarkKind.EVACUATED + zone))) {
                    out.add("zone " + zone + " ends as " + marksAtEnd.get(MarkKind.EVACUATED + zone)
                            + ", acknowledged was " + value);
                }
            });
            if (rules > 0) {
                String m = marksAtEnd.get(MarkKind.RULES + "");
                if (m == null
                        || !(ringspindle.routing.ServingRules.read(m.getBytes(UTF_8))
                                instanceof Validated.Valid<ringspindle.routing.ServingRules> g)
                        || g.value().revision() < rules) {
                    out.add("serving rules " + rules + " were acknowledged, at the end there is " + m);
                }
            }
            if (rollTarget >= 0) {
                String m = marksAtEnd.get(MarkKind.ROLLOUT + "s");
                Rollout r = m == null ? null : Rollout.read(m);
                if (r == null
                        || r.target() != rollTarget
                        || r.state() != (rollAborted ? Rollout.Standing.ABORTED : Rollout.Standing.RUNNING)) {
                    out.add("the roll-out to " + rollTarget + " aborted " + rollAborted + " ends as " + r);
                }
            }
            for (String id : leaving) {
                if (!marksAtEnd.containsKey(MarkKind.LEAVING + id)) {
                    out.add("that " + id + " leaves was acknowledged and is forgotten");
                }
            }
            if (readBack < newest) {
                out.add("read back " + readBack + " though " + newest + " was acknowledged");
            }
            if (readBack > 0 && !readBody.equals(sent.get(readBack))) {
                out.add("what was read back differs from what was sent as " + readBack);
            }
            return out;
        }
    }

    private static final class Node {
        final NodeId id;
        ChainReplicatedState machine;
        List<Message> disk = new ArrayList<>();
        final ArrayDeque<ReplicatedState.Out.Store> inbox = new ArrayDeque<>();
        long diskFreeMs;
        long upMs;
        long frozenUntilMs;
        boolean leaving;
        long stalledUntilMs;
        int life;
        long committedSeq = -1;

        Node(NodeId id) {
            this.id = id;
        }
    }

    private record Event(long atMs, long order, Runnable run) {}

    private record Order(CallKind kind, long base, long revision, String body) {}

    private final Random luck;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<NodeId, Node> byId = new TreeMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final Map<String, Long> cutUntilMs = new HashMap<>();
    private final Map<String, Long> lastDelivery = new HashMap<>();
    private final Map<Long, Answer> calls = new HashMap<>();
    final History history = new History();
    private long nowMs;
    private long order;
    private long callId;
    private long known;
    private boolean stress = true;

    private interface Answer {
        void answer(Outcome o, byte[] body);
    }

    private final String name;

    String name() {
        return name;
    }

    ChainSimulation(long seed, int size) {
        this(seed, size, size, 1);
    }

    /** Of {@code size} nodes the first {@code known} are seeds, the others join; {@code lost} may lose their disks at once. */
    ChainSimulation(long seed, int size, int known, int lost) {
        name = seed + " " + size + " of which seeds " + known + " lost at once " + lost;
        this.lost = lost;
        luck = new Random(seed);
        List<NodeId> ids = new ArrayList<>();
        for (int i = 1; i <= size; i++) {
            // addresses of seeds and joiners mix, as on real machines
            ids.add(NodeId.of("10.0." + (i * 7 % size) + "." + i + ":7000"));
        }
        seeds = ids.subList(0, known);
        for (NodeId s : ids) {
            Node n = new Node(s);
            n.machine = machine(s, true, List.of());
            nodes.add(n);
            byId.put(s, n);
        }
    }

    private ChainReplicatedState machine(NodeId id, boolean bootstrap, List<Message> disk) {
        return new ChainReplicatedState(id, seeds, bootstrap, disk, luck.nextLong(), 2 * lost + 1);
    }

    private final List<NodeId> seeds;
    private final int lost;

    private void at(long inMs, Runnable r) {
        events.add(new Event(nowMs + inMs, order++, r));
    }

    private boolean up(Node n) {
        return n.machine != null;
    }

    private boolean cut(NodeId a, NodeId b) {
        return cutUntilMs.getOrDefault(a + ">" + b, -1L) > nowMs;
    }

    /** In touch as beats would tell: no cut and no fresh start within the last 300 ms. */
    private boolean linked(NodeId a, NodeId b) {
        Node x = byId.get(a);
        Node y = byId.get(b);
        if (x == null || y == null || !up(x) || !up(y) || nowMs - x.upMs < 200 || nowMs - y.upMs < 200) {
            return false;
        }
        return !cut(a, b) && !cut(b, a) && x.frozenUntilMs <= nowMs && y.frozenUntilMs <= nowMs;
    }

    /** Something to be done at a given time of the run. */
    void script(long atMs, Runnable step) {
        at(atMs, step);
    }

    /** A new node with an empty disk at a new address, as a replacement is. */
    private Node join() {
        Node n = new Node(NodeId.of("10.1." + joined++ % 3 + "." + joined + ":7000"));
        byId.put(n.id, n);
        nodes.add(n);
        start(n);
        return n;
    }

    private int joined;

    private void removeForGood(Node n) {
        nodes.remove(n);
        n.machine = null;
        n.life++;
        n.inbox.clear();
    }

    /** The new one first; then the old one is told to end, and ends once it has handed over or its time is up. */
    void replacePlanned(int index) {
        Node old = nodes.get(index);
        join();
        at(3000, () -> old.leaving = true);
        at(3900, () -> removeForGood(old));
    }

    /** One is gone for good, an empty one comes a second later at another address. */
    void replaceLost(int index) {
        removeForGood(nodes.get(index));
        at(1000, this::join);
    }

    /** A new node comes, while the given one stands still, and gets all that was sent to it when it wakes. */
    void freezeAndJoin(int index, long forMs) {
        nodes.get(index).frozenUntilMs = nowMs + forMs;
        at(1000, this::join);
    }

    void loseForGood(NodeId id) {
        removeForGood(byId.get(id));
    }

    void loseDisk(int index, long forMs) {
        crash(nodes.get(index), true, forMs);
    }

    /** As a closing fault does it: some lose their disks, all others their power. */
    void loseDisksAndPower(Set<Integer> indexes) {
        for (int i = 0; i < nodes.size(); i++) {
            crash(nodes.get(i), indexes.contains(i), 500 + luck.nextInt(900));
        }
    }

    /** Notes it as a problem if another number of nodes votes now. */
    void checkVoters(int expected) {
        if (voters() != expected) {
            history.wrong.add(voters() + " vote at " + nowMs + ", expected " + expected);
        }
    }

    long acknowledgedAfter(long atMs) {
        return history.acked.stream().filter(a -> a.atMs() >= atMs).count();
    }

    History run(int troubles, long forMs) {
        for (Node n : nodes) {
            beat(n, n.life);
        }
        for (int op = 0; op < 2; op++) {
            at(1500 + op * 70L, this::operator);
        }
        at(1600, () -> evacuate(0));
        at(1700, () -> leave(0));
        at(4000, () -> rollOut(0));
        for (int op = 0; op < 2; op++) {
            at(2500 + op * 40L, () -> rules(0));
        }
        for (int i = 0; i < troubles; i++) {
            long t = 2000 + (long) (luck.nextDouble() * forMs);
            at(t, this::trouble);
        }
        until(forMs + 3000);
        stress = false;
        cutUntilMs.clear();
        until(nowMs + 6000);
        readBack();
        until(nowMs + 4000);
        return history;
    }

    private void until(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event e = events.poll();
            nowMs = e.atMs();
            e.run().run();
        }
        nowMs = endMs;
    }

    private void beat(Node n, int life) {
        if (n.life != life || !up(n)) {
            return;
        }
        if (n.frozenUntilMs <= nowMs) {
            carry(n, n.machine.tick(nowMs, new Connectivity() {
                @Override
                public boolean linked(NodeId a, NodeId b) {
                    return a.equals(b) || ChainSimulation.this.linked(a, b);
                }

                @Override
                public Collection<NodeId> live() {
                    List<NodeId> out = new ArrayList<>();
                    nodes.forEach(o -> {
                        if (o != n && ChainSimulation.this.linked(n.id, o.id)) {
                            out.add(o.id);
                        }
                    });
                    return out;
                }

                @Override
                public boolean leaving(NodeId o) {
                    return byId.get(o).leaving;
                }

                @Override
                public boolean relearning(NodeId o) {
                    Node peer = byId.get(o);
                    return up(peer) && peer.machine.relearning();
                }

                @Override
                public String failureDomain(NodeId o) {
                    return Long.toString((o.bits() >>> 24) % 3);
                }
            }));
        }
        at(100, () -> beat(n, life));
    }

    private void carry(Node n, List<ReplicatedState.Out> outs) {
        for (ReplicatedState.Out o : outs) {
            if (o instanceof ReplicatedState.Out.Send s) {
                send(n, s.to(), s.message());
            } else if (o instanceof ReplicatedState.Out.Store s) {
                n.inbox.add(s);
                int life = n.life;
                long when = Math.max(Math.max(nowMs, n.diskFreeMs), n.stalledUntilMs) + 1 + luck.nextInt(8);
                n.diskFreeMs = when;
                at(when - nowMs, () -> synced(n, life, s));
            } else if (o instanceof ReplicatedState.Out.Answer a) {
                Answer then = calls.remove(a.call());
                if (then != null) {
                    then.answer(a.outcome(), a.body());
                }
            } else if (o instanceof ReplicatedState.Out.Committed c) {
                Long had = history.revisionOfSeq.putIfAbsent(
                        c.state().seq(), c.state().revision());
                if (had != null && had != c.state().revision()) {
                    history.wrong.add("seq " + c.state().seq() + " is " + had + " here and "
                            + c.state().revision() + " there");
                }
                if (c.state().seq() < n.committedSeq) {
                    history.wrong.add(n.id + " goes back from seq " + n.committedSeq + " to "
                            + c.state().seq());
                }
                n.committedSeq = c.state().seq();
            }
        }
    }

    private void synced(Node n, int life, ReplicatedState.Out.Store s) {
        if (n.life != life || !up(n)) {
            return;
        }
        n.inbox.remove(s);
        if (s.snapshot()) {
            n.disk = new ArrayList<>(s.records());
        } else {
            n.disk.addAll(s.records());
        }
        carry(n, n.machine.stored(s.token(), nowMs));
    }

    private void send(Node from, NodeId to, Message m) {
        if (cut(from.id, to)) {
            return;
        }
        String link = from.id + ">" + to;
        long when = Math.max(lastDelivery.getOrDefault(link, 0L), nowMs + 1 + luck.nextInt(20));
        lastDelivery.put(link, when);
        byte[] bytes = Codec.encode(m);
        Node target = byId.get(to);
        int life = target.life;
        at(when - nowMs, () -> deliver(from.id, target, life, bytes));
    }

    private void deliver(NodeId from, Node to, int life, byte[] bytes) {
        if (!up(to) || to.life != life || cut(from, to.id)) {
            return;
        }
        if (to.frozenUntilMs > nowMs) {
            at(to.frozenUntilMs - nowMs, () -> deliver(from, to, life, bytes));
            return;
        }
        carry(to, to.machine.receive(from, Codec.decode(bytes), nowMs));
    }

    private View newest() {
        return nodes.stream()
                .filter(n -> up(n) && n.machine.view() != null)
                .map(n -> n.machine.view())
                .max(Comparator.comparingLong(View::epoch))
                .orElseThrow();
    }

    long epoch() {
        return newest().epoch();
    }

    void leaveHead() {
        byId.get(newest().head()).leaving = true;
    }

    boolean headLeaves() {
        return newest().chain().stream().anyMatch(n -> byId.get(n).leaving);
    }

    void goOn(long forMs) {
        until(nowMs + forMs);
    }

    List<NodeId> votersOfNewest() {
        return newest().voters();
    }

    List<NodeId> running() {
        return nodes.stream().map(n -> n.id).sorted().toList();
    }

    /** Voters of the newest view. */
    int voters() {
        return nodes.stream()
                .filter(n -> up(n) && n.machine.view() != null)
                .map(n -> n.machine.view())
                .max(Comparator.comparingLong(View::epoch))
                .map(v -> v.voters().size())
                .orElse(0);
    }

    /** Where every node stands, for whoever reads a failure. */
    String standing() {
        StringBuilder b = new StringBuilder();
        nodes.forEach(
                n -> b.append('\n').append(n.id).append(n.machine == null ? " down" : " " + n.machine.standing()));
        return b.toString();
    }

    // ---- operators

    private void operator() {
        if (!stress) {
            return;
        }
        long base = known;
        long revision = base + 1 + luck.nextInt(5) * 2L + luck.nextInt(2);
        String body = "{\"revision\":" + revision
                + ",\"routes\":[],\"services\":[{\"name\":\"s\"}],\"limits\":{\"maxBodyBytes\":"
                + (1000 + luck.nextInt(100000)) + "}}";
        attempt(new Order(CallKind.PUT, base, revision, body), 0);
    }

    private void attempt(Order o, int n) {
        Node via = nodes.get(luck.nextInt(nodes.size()));
        if (n > 12 || !stress) {
            at(200 + luck.nextInt(400), this::operator);
            return;
        }
        if (!up(via) || via.frozenUntilMs > nowMs) {
            at(150, () -> attempt(o, n + 1));
            return;
        }
        long id = ++callId;
        boolean[] done = {false};
        calls.put(id, (outcome, body) -> {
            if (done[0]) {
                return;
            }
            done[0] = true;
            if (outcome == Outcome.TAKEN) {
                history.acked.add(new History.Acked(o.base(), o.revision(), nowMs));
                history.sent.put(o.revision(), o.body());
                if (lost > 1) {
                    View v = via.machine == null ? null : via.machine.view();
                    if (v != null && v.voters().size() < 2 * lost + 1) {
                        history.wrong.add(
                                "acknowledged by a view of " + v.voters().size());
                    }
                }
                known = Math.max(known, o.revision());
                at(100 + luck.nextInt(500), this::operator);
            } else if (outcome == Outcome.UNCLEAR) {
                at(100 + luck.nextInt(200), () -> attempt(o, n + 1));
            } else {
                history.refused++;
                at(50 + luck.nextInt(200), () -> learn());
            }
        });
        maybe.add(o);
        carry(via, via.machine.call(o.kind().call(id, o.base(), "", o.body().getBytes(UTF_8)), nowMs));
        at(3000, () -> {
            if (!done[0]) {
                done[0] = true;
                attempt(o, n + 1);
            }
        });
    }

    private interface Acked {
        void taken();
    }

    /** Sends an order to any node until it is taken. */
    private void insist(CallKind kind, String arg, Acked then) {
        insist(kind, arg, new byte[0], then);
    }

    private void insist(CallKind kind, String arg, byte[] body, Acked then) {
        Node via = nodes.get(luck.nextInt(nodes.size()));
        if (!up(via) || via.frozenUntilMs > nowMs) {
            at(150, () -> insist(kind, arg, body, then));
            return;
        }
        long id = ++callId;
        boolean[] done = {false};
        calls.put(id, (outcome, text) -> {
            if (!done[0]) {
                done[0] = true;
                if (outcome == Outcome.TAKEN) {
                    then.taken();
                } else {
                    at(150, () -> insist(kind, arg, body, then));
                }
            }
        });
        carry(via, via.machine.call(kind.call(id, 0, arg, body), nowMs));
        at(1500, () -> {
            if (!done[0]) {
                done[0] = true;
                insist(kind, arg, body, then);
            }
        });
    }

    /** One operator evacuates a zone and takes it back, over and over; each order is taken before the next is sent. */
    private void evacuate(int n) {
        if (stress) {
            boolean on = n % 2 == 0;
            insist(on ? CallKind.EVACUATE : CallKind.RESTORE, "z", () -> {
                history.evacuations.put("z", on ? "on" : "off");
                at(200 + luck.nextInt(1200), () -> evacuate(n + 1));
            });
        }
    }

    /** Roll-outs are started and aborted in turn. */
    private void rollOut(int n) {
        if (stress) {
            long target = n / 2 + 2L;
            boolean start = n % 2 == 0;
            String order = start ? "{\"order\":\"start\",\"target\":" + target + "}" : "{\"order\":\"abort\"}";
            insist(CallKind.ROLLOUT, "s", order.getBytes(UTF_8), () -> {
                history.rollTarget = target;
                history.rollAborted = !start;
                at(400 + luck.nextInt(1500), () -> rollOut(n + 1));
            });
        }
    }

    /** Two operators change the serving rules, each on top of what it last knew to be in force. */
    private void rules(long base) {
        if (stress) {
            long next = base + 1 + luck.nextInt(4);
            String body = "{\"revision\":" + next + ",\"default\":{\"class\":{\"rank\":" + luck.nextInt(10)
                    + ",\"waitMs\":" + luck.nextInt(30_000) + "}}}";
            rules(base, next, body, 0);
        }
    }

    private void rules(long base, long next, String body, int n) {
        Node via = nodes.get(luck.nextInt(nodes.size()));
        if (!stress || n > 12) {
            at(300, () -> rules(history.rules));
            return;
        }
        if (!up(via) || via.frozenUntilMs > nowMs) {
            at(150, () -> rules(base, next, body, n + 1));
            return;
        }
        long id = ++callId;
        boolean[] done = {false};
        calls.put(id, (outcome, text) -> {
            if (done[0]) {
                return;
            }
            done[0] = true;
            if (outcome == Outcome.TAKEN) {
                Long other = history.rulesWinner.put(base, next);
                if (other != null && other != next) {
                    history.wrong.add("two serving rules on " + base + ": " + other + " and " + next);
                }
                history.rules = Math.max(history.rules, next);
                at(200 + luck.nextInt(900), () -> rules(next));
            } else if (outcome == Outcome.UNCLEAR) {
                at(150, () -> rules(base, next, body, n + 1));
            } else {
                at(100 + luck.nextInt(300), () -> rules(history.rules));
            }
        });
        carry(via, via.machine.call(CallKind.RULES.call(id, base, "", body.getBytes(UTF_8)), nowMs));
        at(1500, () -> {
            if (!done[0]) {
                done[0] = true;
                rules(base, next, body, n + 1);
            }
        });
    }

    private void leave(int n) {
        if (stress) {
            insist(n % 3 == 2 ? CallKind.GONE : CallKind.DRAIN, "i-" + n, () -> {
                history.leaving.add("i-" + n);
                at(300 + luck.nextInt(900), () -> leave(n + 1));
            });
        }
    }

    /** Orders that may be in force though nobody was told. */
    private final List<Order> maybe = new ArrayList<>();

    /** After a refusal the operator reads what is in force. */
    private void learn() {
        read(
                (revision, body) -> {
                    known = Math.max(known, revision);
                    at(50, this::operator);
                },
                0);
    }

    private interface Read {
        void got(long revision, String body);
    }

    private void read(Read then, int n) {
        Node via = nodes.get(luck.nextInt(nodes.size()));
        if (n > 40) {
            return;
        }
        if (!up(via) || via.frozenUntilMs > nowMs) {
            at(150, () -> read(then, n + 1));
            return;
        }
        long id = ++callId;
        boolean[] done = {false};
        long newestAcked =
                history.acked.stream().mapToLong(History.Acked::revision).max().orElse(0);
        calls.put(id, (outcome, body) -> {
            if (done[0]) {
                return;
            }
            done[0] = true;
            if (outcome == Outcome.TAKEN) {
                String text = new String(FleetConfig.unpack(body), UTF_8);
                long revision = ((Validated.Valid<FleetConfig>) FleetConfig.read(text.getBytes(UTF_8)))
                        .value()
                        .revision();
                if (revision < newestAcked) {
                    history.wrong.add("a read gives " + revision + " after " + newestAcked + " was acknowledged");
                }
                then.got(revision, text);
            } else if (outcome == Outcome.NO_SUCH) {
                then.got(0, "");
            } else {
                at(150, () -> read(then, n + 1));
            }
        });
        carry(via, via.machine.call(CallKind.READ.call(id, 0, "", new byte[0]), nowMs));
    }

    private void readBack() {
        read(
                (revision, body) -> {
                    for (Node x : nodes) {
                        if (up(x) && x.machine.view().tail().equals(x.id) && x.machine.committed() != null) {
                            x.machine
                                    .committed()
                                    .marks()
                                    .forEach(m -> history.marksAtEnd.put(MarkKind.of(m) + m.key(), m.value()));
                        }
                    }
                    history.readBack = revision;
                    history.readBody = body;
                    for (Order o : maybe) {
                        if (o.revision() == revision && body.equals(o.body())) {
                            history.sent.putIfAbsent(revision, o.body());
                        }
                    }
                },
                0);
    }

    // ---- troubles: never more nodes lost at once than the deployment allows

    private long troubleUntilMs;

    private void trouble() {
        if (!stress || nowMs < troubleUntilMs) {
            return;
        }
        Node n = nodes.get(luck.nextInt(nodes.size()));
        long forMs = 300L + luck.nextInt(3500);
        troubleUntilMs = nowMs + forMs + 4000 + 1000L * lost;
        List<Node> few = new ArrayList<>(nodes);
        Collections.shuffle(few, luck);
        few = few.subList(0, lost);
        switch (luck.nextInt(lost == 1 ? 10 : 12)) {
            case 8:
                replacePlanned(nodes.indexOf(n));
                break;
            case 9:
                replaceLost(nodes.indexOf(n));
                break;
            case 0:
                few.forEach(x -> crash(x, false, forMs));
                break;
            case 1:
                few.forEach(x -> crash(x, true, forMs));
                break;
            case 6:
                // it is told to end, says so, and ends a moment later
                n.leaving = true;
                at(900, () -> {
                    if (nodes.contains(n)) {
                        crash(n, false, forMs);
                    }
                });
                break;
            case 10:
                // one loses its disk, the other is cut off
                crash(few.get(0), true, forMs);
                for (Node o : nodes) {
                    if (o != few.get(1)) {
                        cut(few.get(1), o, forMs);
                        cut(o, few.get(1), forMs);
                    }
                }
                break;
            case 11:
                // as many as may lose their disks, all others their power
                for (Node o : nodes) {
                    crash(o, few.contains(o), 200 + luck.nextInt(1500));
                }
                break;
            case 2:
                n.frozenUntilMs = nowMs + forMs;
                break;
            case 3:
                for (Node o : nodes) {
                    if (o != n) {
                        cut(n, o, forMs);
                        cut(o, n, forMs);
                    }
                }
                break;
            case 4:
                Node other = nodes.get(luck.nextInt(nodes.size()));
                if (other != n) {
                    cut(n, other, forMs);
                    if (luck.nextBoolean()) {
                        cut(other, n, forMs);
                    }
                }
                break;
            case 5:
                n.stalledUntilMs = nowMs + forMs;
                break;
            default:
                // all lose power at once
                for (Node o : nodes) {
                    crash(o, false, 200 + luck.nextInt(1500));
                }
                break;
        }
    }

    private void cut(Node a, Node b, long forMs) {
        cutUntilMs.put(a.id + ">" + b.id, nowMs + forMs);
        at(forMs + 50, () -> {
            if (up(a) && up(b) && !cut(a.id, b.id) && !cut(b.id, a.id)) {
                carry(a, a.machine.opened(b.id, nowMs));
                carry(b, b.machine.opened(a.id, nowMs));
            }
        });
    }

    private void crash(Node n, boolean wipe, long forMs) {
        n.machine = null;
        n.life++;
        n.inbox.clear();
        n.committedSeq = -1;
        n.frozenUntilMs = 0;
        if (wipe) {
            n.disk = new ArrayList<>();
        }
        int life = n.life;
        at(forMs, () -> {
            if (n.life != life || n.machine != null || !nodes.contains(n)) {
                return;
            }
            start(n);
        });
    }

    private void start(Node n) {
        n.machine = machine(n.id, false, n.disk);
        n.upMs = nowMs;
        n.diskFreeMs = nowMs;
        n.leaving = false;
        beat(n, n.life);
        at(150, () -> {
            for (Node o : List.copyOf(nodes)) {
                if (o != n && up(o) && up(n)) {
                    carry(o, o.machine.opened(n.id, nowMs));
                    carry(n, n.machine.opened(o.id, nowMs));
                }
            }
        });
    }
}
