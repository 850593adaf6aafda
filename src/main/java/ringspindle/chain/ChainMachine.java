package ringspindle.chain;

import it.unimi.dsi.fastutil.longs.*;
import java.util.*;
import ringspindle.api.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/**
 * Chain replication under views. A view is decided by single-decree agreement of a majority of the previous view's
 * voters; a voter that promised the next epoch refuses the entries of the old one. The head of a new view is the
 * promiser with the newest state, so that nothing acknowledged is lost.
 */
final class ChainMachine implements Chain {
    static final long SILENT_MS = 400;
    static final long HELD_MS = 950;
    static final long HELD_CONFIG_MS = 2500;
    static final long STALL_MS = 1200;
    static final long READD_MS = 700;
    /** More do not make the control state safer, and every one of them is a sync and a hop to each order. */
    static final int VOTERS_MAX = 9;
    /** How long a first start waits for as many voters as its losses ask for. */
    static final long FOUNDING_MS = 8000;
    /** Steps that the search for a chain over broken links may take. */
    private static final int PATH_STEPS = 4000;
    private static final byte[] NONE = {};

    private record Pending(long seq, State state, byte[] op, NodeId origin, long call) {
    }

    /** A refusal, or a reading of the state, that waits until all before it is committed. */
    private record Waiting(long seq, NodeId origin, long call, Outcome outcome, byte[] body) {
    }

    private static final class Held {
        final NodeId origin;
        final Call call;
        final long sinceMs;
        long sentEpoch = -1;

        Held(NodeId origin, Call call, long sinceMs) {
            this.origin = origin;
            this.call = call;
            this.sinceMs = sinceMs;
        }
    }

    private static final class Proposal {
        long epoch;
        long ballot;
        long sinceMs;
        boolean accepting;
        View value;
        final Map<NodeId, Pledge> promises = new TreeMap<>();
        final Set<NodeId> accepts = new TreeSet<>();
    }

    private static final class Reading {
        final NodeId origin;
        final long call;
        final String what;
        final long sinceMs;
        final Set<NodeId> ok = new TreeSet<>();

        Reading(NodeId origin, long call, String what, long sinceMs) {
            this.what = what;
            this.origin = origin;
            this.call = call;
            this.sinceMs = sinceMs;
        }
    }

    private final NodeId me;
    private final List<NodeId> seeds;
    private final Content content = new Content();
    private final Random luck;

    private View view;
    private long promisedEpoch;
    private long promised;
    private long acceptedBallot;
    private View accepted;
    private State last;
    private State committed;
    private boolean wiped;
    private boolean announced;

    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final Map<NodeId, Map<Long, Held>> held = new TreeMap<>();
    private final Long2ObjectMap<Reading> readings = new Long2ObjectLinkedOpenHashMap<>();
    private final Long2ObjectMap<Runnable> thens = new Long2ObjectOpenHashMap<>();
    private final Map<NodeId, Relearned> relearned = new TreeMap<>();
    private final ArrayDeque<Msg> toSelf = new ArrayDeque<>();
    private Proposal proposal;
    private long round;
    private long nextToken;
    private long nextReading;
    private long synced = -1;
    private long sentDown = -1;
    private long ackedDown = -1;
    private long sentDownMs;
    private long wrongSinceMs = -1;
    private long nextProposeMs;
    private long nextRelearnMs;
    private long quorumMs = Long.MIN_VALUE / 2;
    private long fencedMs;
    private long uncommittedMs;
    private long readdMs = READD_MS;
    private final int leastVoters;
    private boolean founds;
    private long foundingUntilMs = -1;
    private int pathSteps;
    private Reach reach;
    private List<Out> out = new ArrayList<>();
    private long nowMs;

    ChainMachine(NodeId me, List<NodeId> seeds, boolean bootstrap, List<Msg> found, long luck, int leastVoters) {
        this.me = me;
        this.leastVoters = Math.min(VOTERS_MAX, leastVoters);
        this.seeds = List.copyOf(seeds);
        this.luck = new Random(luck);
        State empty = new State(-1, 0, 0, List.of(), List.of(), NONE);
        last = empty;
        for (Msg m : found) {
            if (m instanceof Vote v) {
                promisedEpoch = v.promisedEpoch();
                promised = v.promised();
                acceptedBallot = v.acceptedBallot();
                accepted = v.accepted();
                view = v.view();
            } else if (m instanceof State s) {
                last = s;
                pending.clear();
            } else if (m instanceof Entry e && e.epoch() == last.lineage() && e.seq() == last.seq() + 1) {
                last = Content.apply(last, (Op) Codec.decode(e.op()));
            }
        }
        synced = last.seq();
        founds = bootstrap && view == null;
        if (view == null) {
            if (bootstrap && seeds.contains(me)) {
                List<NodeId> order = new ArrayList<>(seeds);
                view = new View(1, List.copyOf(order), List.copyOf(order));
                last = new State(1, 0, 0, List.of(), List.of(), NONE);
            } else {
                wiped = true;
            }
        }
    }

    @Override
    public View view() {
        return view;
    }

    @Override
    public State committed() {
        return committed;
    }

    @Override
    public boolean current(long nowMs) {
        if (view == null || nowMs - quorumMs >= 1200) {
            return false;
        }
        if (!view.voters().contains(me)) {
            // a learner passes calls on; it hears what is committed as facts
            return view.voters().size() >= VOTERS_MAX && !wiped;
        }
        return committed != null && last.lineage() == view.epoch()
                && view.chain().contains(me) && (!fenced() || nowMs - fencedMs < 1500);
    }

    @Override
    public boolean founding(long nowMs) {
        return founds && (view == null || view.voters().size() < leastVoters)
                && (foundingUntilMs < 0 || nowMs < foundingUntilMs);
    }

    @Override
    public boolean blank() {
        return wiped || view == null;
    }

    @Override
    public List<Msg> durable() {
        return List.of(vote(), last);
    }

    /** Where it stands, for tests and logs. */
    String standing() {
        return "view " + (view == null ? null : view.epoch() + " " + view.chain()) + " promised " + promisedEpoch + "/" + promised
                + " accepted " + acceptedBallot + " lineage " + last.lineage() + " seq " + last.seq() + " committed "
                + (committed == null ? null : committed.lineage() + "/" + committed.seq()) + " synced " + synced + " down "
                + sentDown + "/" + ackedDown + " wiped " + wiped + " held " + held.size() + " proposal " + (proposal != null);
    }

    private Vote vote() {
        return new Vote(promisedEpoch, promised, acceptedBallot, accepted, view);
    }

    private boolean fenced() {
        return view != null && promisedEpoch > view.epoch();
    }

    private boolean active() {
        return view != null && !wiped && !fenced() && last.lineage() == view.epoch() && view.chain().contains(me);
    }

    private NodeId successor() {
        int i = view.chain().indexOf(me);
        return i < 0 || i + 1 >= view.chain().size() ? null : view.chain().get(i + 1);
    }

    private NodeId predecessor() {
        int i = view.chain().indexOf(me);
        return i <= 0 ? null : view.chain().get(i - 1);
    }

    // ---- inputs

    @Override
    public List<Out> on(NodeId from, Msg m, long nowMs) {
        this.nowMs = nowMs;
        announce();
        take(from, m);
        return finish();
    }

    @Override
    public List<Out> stored(long token, long nowMs) {
        this.nowMs = nowMs;
        Runnable then = thens.remove(token);
        if (then != null) {
            then.run();
        }
        return finish();
    }

    @Override
    public List<Out> opened(NodeId peer, long nowMs) {
        this.nowMs = nowMs;
        announce();
        if (view != null && peer.equals(successor())) {
            sentDown = -1;
            pushDown();
        }
        if (view != null) {
            held.getOrDefault(me, Map.of()).values().forEach(h -> h.sentEpoch = peer.equals(view.head()) ? -1 : h.sentEpoch);
            retryHeld();
        }
        return finish();
    }

    @Override
    public List<Out> call(Call c, long nowMs) {
        this.nowMs = nowMs;
        announce();
        hold(me, c);
        return finish();
    }

    /** The first view and state go to disk before anything else is said or written. */
    private void announce() {
        if (announced || view == null || wiped) {
            return;
        }
        announced = true;
        uncommittedMs = nowMs;
        out.add(new Out.Viewed(view));
        long seq = last.seq();
        long epoch = view.epoch();
        store(durable(), true, () -> {
            if (active() && view.epoch() == epoch && view.head().equals(me)) {
                // the head of a view goes on from what its disk holds
                localSynced(epoch, seq);
            }
        });
    }

    private List<Out> finish() {
        while (!toSelf.isEmpty()) {
            take(me, toSelf.poll());
        }
        List<Out> o = out;
        out = new ArrayList<>();
        return o;
    }

    private void send(NodeId to, Msg m) {
        if (to.equals(me)) {
            toSelf.add(m);
        } else {
            out.add(new Out.Send(to, m));
        }
    }

    private void store(List<Msg> records, boolean image, Runnable then) {
        long token = nextToken++;
        thens.put(token, then);
        out.add(new Out.Store(token, records, image));
    }

    private void take(NodeId from, Msg m) {
        if (m instanceof Prepare x) {
            onPrepare(from, x);
        } else if (m instanceof Pledge x) {
            onPledge(from, x);
        } else if (m instanceof Accept x) {
            onAccept(from, x);
        } else if (m instanceof Accepted x) {
            onAccepted(from, x);
        } else if (m instanceof Decided x) {
            learn(x.view());
        } else if (m instanceof Install x) {
            onInstall(from, x);
        } else if (m instanceof Entry x) {
            onEntry(from, x);
        } else if (m instanceof Synced x) {
            onSynced(from, x);
        } else if (m instanceof Confirm x) {
            send(from, new Confirmed(x.epoch(), x.id(), view != null && view.epoch() == x.epoch() && !fenced() && !wiped));
        } else if (m instanceof Confirmed x) {
            onConfirmed(from, x);
        } else if (m instanceof Relearn x) {
            if (!wiped && view != null) {
                Vote v = vote();
                // the promise has to be on disk before it is told
                store(List.of(v), false, () -> send(from, new Relearned(x.id(), v.promisedEpoch(), v.promised(),
                        v.acceptedBallot(), v.accepted(), v.view())));
            }
        } else if (m instanceof Relearned x) {
            onRelearned(from, x);
        } else if (m instanceof Call x) {
            // whoever passes a call on asks the next view's head anew, so an old one must not wait here for its chance
            if (view != null && (x.kind() == READ ? view.tail() : view.head()).equals(me)) {
                hold(from, x);
            }
        } else if (m instanceof Reply x) {
            onReply(x);
        }
    }

    // ---- agreement on views

    private void learn(View v) {
        if (v == null || view != null && v.epoch() <= view.epoch()) {
            return;
        }
        view = v;
        if (wiped) {
            // a wiped node must not act in any view before it has relearned
            return;
        }
        if (promisedEpoch <= v.epoch()) {
            acceptedBallot = 0;
            accepted = null;
            promised = 0;
        }
        proposal = null;
        wrongSinceMs = -1;
        nextProposeMs = nowMs + 300;
        out.add(new Out.Viewed(v));
        readings.clear();
        startView();
    }

    private void startView() {
        sentDown = -1;
        ackedDown = -1;
        uncommittedMs = nowMs;
        readdMs = view.chain().size() == view.voters().size() ? READD_MS : Math.min(readdMs * 2, 6000);
        // calls behind these were answered nothing; their origins still hold them, and they are decided anew
        waiting.clear();
        held.keySet().removeIf(n -> !n.equals(me));
        if (view.chain().contains(me) && view.head().equals(me) && last.lineage() >= 0 && last.lineage() < view.epoch()) {
            last = new State(view.epoch(), last.seq(), last.revision(), last.past(), last.marks(), last.config());
            long seq = last.seq();
            long epoch = view.epoch();
            store(List.of(vote(), last), true, () -> localSynced(epoch, seq));
        } else {
            store(List.of(vote()), false, () -> { });
        }
        retryHeld();
    }

    private void onPrepare(NodeId from, Prepare p) {
        learn(p.view());
        if (wiped || view == null) {
            return;
        }
        if (p.epoch() != view.epoch() + 1) {
            if (p.epoch() <= view.epoch()) {
                send(from, new Decided(view));
            }
            return;
        }
        if (!view.voters().contains(me)) {
            return;
        }
        if (promisedEpoch > p.epoch() || promisedEpoch == p.epoch() && p.ballot() <= promised) {
            send(from, new Pledge(p.epoch(), p.ballot(), false, promised, 0, 0, 0, null, view));
            return;
        }
        if (promisedEpoch < p.epoch()) {
            fencedMs = nowMs;
            acceptedBallot = 0;
            accepted = null;
        }
        promisedEpoch = p.epoch();
        promised = p.ballot();
        Pledge reply = new Pledge(p.epoch(), p.ballot(), true, promised, acceptedBallot, last.lineage(), last.seq(),
                accepted, view);
        store(List.of(vote()), false, () -> send(from, reply));
    }

    private void onPledge(NodeId from, Pledge p) {
        learn(p.view());
        if (proposal == null || proposal.accepting || proposal.epoch != p.epoch() || proposal.ballot != p.ballot()) {
            return;
        }
        if (!p.granted()) {
            round = Math.max(round, p.promised() >> 10);
            abandon();
            return;
        }
        proposal.promises.put(from, p);
        maybeAccept();
    }

    private void abandon() {
        proposal = null;
        nextProposeMs = nowMs + 150 + luck.nextInt(400);
    }

    /** Goes on once a majority promised; waits a little for the others that seem to be there. */
    private void maybeAccept() {
        Proposal p = proposal;
        if (p == null || p.accepting || p.promises.size() < view.majority()) {
            return;
        }
        int expected = 0;
        for (NodeId v : view.voters()) {
            expected += v.equals(me) || reach != null && reach.linked(me, v) ? 1 : 0;
        }
        if (p.promises.size() < expected && nowMs - p.sinceMs < 250) {
            return;
        }
        View value = null;
        long best = 0;
        for (Pledge x : p.promises.values()) {
            if (x.accepted() != null && x.acceptedBallot() > best) {
                best = x.acceptedBallot();
                value = x.accepted();
            }
        }
        if (value == null) {
            value = compose(p);
        }
        if (value == null) {
            abandon();
            return;
        }
        p.accepting = true;
        p.value = value;
        for (NodeId v : view.voters()) {
            send(v, new Accept(p.epoch, p.ballot, value));
        }
    }

    private View compose(Proposal p) {
        NodeId head = null;
        Pledge newest = null;
        for (NodeId v : view.chain()) {
            newest = newer(newest, p.promises.get(v));
        }
        for (NodeId v : view.voters()) {
            newest = newer(newest, p.promises.get(v));
        }
        List<NodeId> order = new ArrayList<>(view.chain());
        view.voters().stream().filter(v -> !order.contains(v)).forEach(order::add);
        for (NodeId v : order) {
            // whoever leaves hands the head over, if another holds just as much
            if (newest != null && newer(newest, p.promises.get(v)) == newest && newer(p.promises.get(v), newest) == p.promises.get(v)
                    && p.promises.get(v) != null && (head == null || leaving(head) && !leaving(v))) {
                head = v;
            }
        }
        if (head == null || newest.lineage() < 0 || !remembered(p)) {
            return null;
        }
        List<NodeId> voters = new ArrayList<>(view.voters());
        List<NodeId> members = new ArrayList<>(p.promises.keySet());
        if (reach != null) {
            for (NodeId n : reach.live()) {
                if (!voters.contains(n) && voters.size() < VOTERS_MAX && !leaving(n)) {
                    voters.add(n);
                    members.add(n);
                }
            }
        }
        members.remove(head);
        int need = voters.size() / 2 + 1;
        long stay = members.stream().filter(n -> !leaving(n)).count();
        if (stay + 1 >= need) {
            members.removeIf(this::leaving);
        }
        members.sort(Comparator.comparingInt(voters::indexOf));
        group(head, members);
        List<NodeId> path = longestPath(head, members);
        if (path.size() < need && voters.size() > view.voters().size()) {
            // joiners make the majority too large: leave them out for now
            voters = new ArrayList<>(view.voters());
            members.retainAll(voters);
            path = longestPath(head, members);
            need = voters.size() / 2 + 1;
        }
        return path.size() < need ? null : new View(p.epoch, List.copyOf(voters), List.copyOf(path));
    }

    private boolean leaving(NodeId n) {
        return reach != null && reach.leaving(n);
    }

    /** True if a member of the last chain that kept its disk is among the promisers: else what was taken may be unknown. */
    private boolean remembered(Proposal p) {
        for (NodeId v : view.chain()) {
            Pledge x = p.promises.get(v);
            if (x != null && x.lineage() >= 0) {
                return true;
            }
        }
        return false;
    }

    private static Pledge newer(Pledge a, Pledge b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return b.lineage() > a.lineage() || b.lineage() == a.lineage() && b.seq() > a.seq() ? b : a;
    }

    /** Orders members by place, the head's first, so that the chain crosses each long link once. */
    private void group(NodeId head, List<NodeId> members) {
        if (reach == null) {
            return;
        }
        List<String> places = new ArrayList<>(List.of(reach.place(head)));
        for (NodeId n : members) {
            if (!places.contains(reach.place(n))) {
                places.add(reach.place(n));
            }
        }
        members.sort(Comparator.comparingInt(n -> places.indexOf(reach.place(n))));
    }

    /** The longest path from the head over links that stand, or the best that a bounded search finds. */
    private List<NodeId> longestPath(NodeId head, List<NodeId> rest) {
        pathSteps = PATH_STEPS;
        return path(head, rest);
    }

    private List<NodeId> path(NodeId head, List<NodeId> rest) {
        List<NodeId> best = List.of(head);
        if (--pathSteps < 0) {
            return best;
        }
        for (NodeId n : rest) {
            if (reach == null || reach.linked(head, n)) {
                List<NodeId> less = new ArrayList<>(rest);
                less.remove(n);
                List<NodeId> tail = path(n, less);
                if (tail.size() + 1 > best.size()) {
                    best = new ArrayList<>();
                    best.add(head);
                    best.addAll(tail);
                    if (best.size() == rest.size() + 1) {
                        return best;
                    }
                }
            }
        }
        return best;
    }

    private void onAccept(NodeId from, Accept a) {
        if (wiped || view == null || a.epoch() != view.epoch() + 1 || !view.voters().contains(me)) {
            if (view != null && a.epoch() <= view.epoch()) {
                send(from, new Decided(view));
            }
            return;
        }
        if (promisedEpoch == a.epoch() && a.ballot() < promised) {
            send(from, new Accepted(a.epoch(), a.ballot(), false, promised));
            return;
        }
        if (promisedEpoch < a.epoch()) {
            fencedMs = nowMs;
        }
        promisedEpoch = a.epoch();
        promised = a.ballot();
        acceptedBallot = a.ballot();
        accepted = a.view();
        store(List.of(vote()), false, () -> send(from, new Accepted(a.epoch(), a.ballot(), true, a.ballot())));
    }

    private void onAccepted(NodeId from, Accepted a) {
        Proposal p = proposal;
        if (p == null || !p.accepting || p.epoch != a.epoch() || p.ballot != a.ballot()) {
            return;
        }
        if (!a.granted()) {
            round = Math.max(round, a.promised() >> 10);
            abandon();
            return;
        }
        p.accepts.add(from);
        if (p.accepts.size() >= view.majority()) {
            Set<NodeId> all = new TreeSet<>(view.voters());
            all.addAll(p.value.voters());
            if (reach != null) {
                // learners, too, pass calls on to the head
                all.addAll(reach.live());
            }
            View v = p.value;
            all.remove(me);
            all.forEach(n -> send(n, new Decided(v)));
            learn(v);
        }
    }

    // ---- relearning after a lost disk, or joining

    private void onRelearned(NodeId from, Relearned r) {
        if (!wiped || r.view() == null) {
            learn(r.view());
            return;
        }
        relearned.put(from, r);
        View newest = view;
        for (Relearned x : relearned.values()) {
            if (newest == null || x.view().epoch() > newest.epoch()) {
                newest = x.view();
            }
        }
        view = newest;
        int n = 0;
        long epoch = newest.epoch();
        long ballot = 0;
        long acceptedAt = 0;
        View value = null;
        for (Map.Entry<NodeId, Relearned> e : relearned.entrySet()) {
            Relearned x = e.getValue();
            if (!newest.voters().contains(e.getKey())) {
                continue;
            }
            n++;
            if (x.promisedEpoch() > epoch || x.promisedEpoch() == epoch && x.promised() > ballot) {
                ballot = x.promised();
                epoch = x.promisedEpoch();
            }
        }
        if (n < newest.majority()) {
            return;
        }
        for (Relearned x : relearned.values()) {
            if (x.promisedEpoch() == epoch && epoch > newest.epoch() && x.acceptedBallot() > acceptedAt) {
                acceptedAt = x.acceptedBallot();
                value = x.accepted();
            }
        }
        wiped = false;
        promisedEpoch = epoch;
        promised = ballot;
        acceptedBallot = acceptedAt;
        accepted = value;
        fencedMs = nowMs;
        relearned.clear();
        last = new State(-1, 0, 0, List.of(), List.of(), NONE);
        out.add(new Out.Viewed(view));
        store(List.of(vote(), last), true, () -> { });
    }

    // ---- the chain

    private void localSynced(long epoch, long seq) {
        if (view == null || epoch != view.epoch()) {
            return;
        }
        synced = Math.max(synced, seq);
        if (fenced()) {
            return;
        }
        if (successor() == null) {
            commit(seq);
        } else {
            pushDown();
        }
    }

    /** Sends what is synced here and was not sent to the successor. */
    private void pushDown() {
        NodeId next = successor();
        if (next == null || !active()) {
            return;
        }
        if (sentDown < 0) {
            sendImage(next);
            return;
        }
        for (Pending p : pending) {
            if (p.seq() > sentDown && p.seq() <= synced) {
                send(next, new Entry(view.epoch(), p.seq(), p.op()));
                sentDown = p.seq();
                sentDownMs = nowMs;
            }
        }
    }

    private void sendImage(NodeId next) {
        if (synced < last.seq()) {
            return;
        }
        send(next, new Install(view.epoch(), last.seq(), Codec.encode(last)));
        sentDown = last.seq();
        sentDownMs = nowMs;
    }

    private void onInstall(NodeId from, Install i) {
        if (view == null || wiped || fenced() || i.epoch() != view.epoch() || !from.equals(predecessor())) {
            return;
        }
        if (last.lineage() == i.epoch() && last.seq() >= i.seq()) {
            sentDown = -1;
            localSynced(i.epoch(), synced);
            reack();
            return;
        }
        last = (State) Codec.decode(i.image());
        pending.clear();
        sentDown = -1;
        long seq = last.seq();
        store(List.of(vote(), last), true, () -> localSynced(i.epoch(), seq));
    }

    private void onEntry(NodeId from, Entry e) {
        if (!active() || e.epoch() != view.epoch() || !from.equals(predecessor())) {
            return;
        }
        if (e.seq() <= last.seq()) {
            localSynced(e.epoch(), synced);
            reack();
            return;
        }
        if (e.seq() != last.seq() + 1) {
            return;
        }
        append(e.op(), null, -1);
    }

    private void reack() {
        long seq = committed == null || committed.lineage() != view.epoch() ? -1 : committed.seq();
        if (seq >= 0 && predecessor() != null) {
            send(predecessor(), new Synced(view.epoch(), seq));
        }
    }

    private void append(byte[] op, NodeId origin, long call) {
        if (committed != null && committed.seq() >= last.seq()) {
            uncommittedMs = nowMs;
        }
        last = Content.apply(last, (Op) Codec.decode(op));
        long seq = last.seq();
        long epoch = view.epoch();
        pending.add(new Pending(seq, last, op, origin, call));
        store(List.of(new Entry(epoch, seq, op)), false, () -> localSynced(epoch, seq));
    }

    private void onSynced(NodeId from, Synced s) {
        if (view == null || s.epoch() != view.epoch() || !from.equals(successor()) || last.lineage() != view.epoch()) {
            return;
        }
        ackedDown = Math.max(ackedDown, s.seq());
        commit(Math.min(s.seq(), last.seq()));
    }

    private void commit(long seq) {
        State now = committed;
        while (!pending.isEmpty() && pending.peek().seq() <= seq) {
            Pending p = pending.poll();
            now = p.state();
            if (p.origin() != null) {
                answer(p.origin(), p.call(), Outcome.TAKEN, NONE);
            }
        }
        if (pending.isEmpty() && last.seq() <= seq) {
            now = last;
        }
        if (now != null && (committed == null || now.seq() > committed.seq() || now.lineage() > committed.lineage())) {
            uncommittedMs = nowMs;
            committed = now.lineage() == view.epoch() ? now
                    : new State(view.epoch(), now.seq(), now.revision(), now.past(), now.marks(), now.config());
            out.add(new Out.Committed(committed));
        }
        if (predecessor() != null) {
            send(predecessor(), new Synced(view.epoch(), seq));
        }
        if (!waiting.isEmpty()) {
            waiting.removeIf(w -> {
                if (w.seq() <= seq) {
                    answer(w.origin(), w.call(), w.outcome(), w.body());
                    return true;
                }
                return false;
            });
        }
        retryHeld();
    }

    private boolean established() {
        return active() && committed != null && committed.lineage() == view.epoch();
    }

    // ---- calls

    private void hold(NodeId origin, Call c) {
        held.computeIfAbsent(origin, k -> new TreeMap<>()).put(c.id(), new Held(origin, c, nowMs));
        retryHeld();
    }

    private void retryHeld() {
        if (held.isEmpty() || view == null || wiped) {
            return;
        }
        for (Map<Long, Held> of : held.values()) {
            for (Held h : of.values()) {
                if (overdue(h)) {
                    // after a freeze: whoever asked has long asked elsewhere, and may have gone on from there
                    continue;
                }
                boolean read = h.call.kind() == READ;
                NodeId target = read ? view.tail() : view.head();
                if (target.equals(me)) {
                    if (h.sentEpoch != view.epoch() && established() && (read || !founding(nowMs))) {
                        h.sentEpoch = view.epoch();
                        if (read) {
                            read(h);
                        } else {
                            decide(h);
                        }
                    }
                } else if (h.sentEpoch != view.epoch() && h.origin.equals(me)) {
                    if (reach == null || reach.linked(me, target)) {
                        h.sentEpoch = view.epoch();
                        send(target, h.call);
                    }
                }
            }
        }
        drained.forEach(k -> {
            Map<Long, Held> of = held.get(k.origin);
            if (of != null) {
                of.remove(k.call.id());
            }
        });
        drained.clear();
    }

    private final List<Held> drained = new ArrayList<>();

    private boolean overdue(Held h) {
        boolean config = h.call.kind() == PUT || h.call.kind() == PATCH;
        return nowMs - h.sinceMs >= (config ? HELD_CONFIG_MS : HELD_MS);
    }

    private void decide(Held h) {
        Content.Decision d = content.decide(last, h.call);
        if (d.op() != null) {
            append(Codec.encode(d.op()), h.origin, h.call.id());
        } else if (committed.seq() >= last.seq()) {
            reply(h.origin, h.call.id(), d.outcome(), d.body());
            drained.add(h);
        } else {
            waiting.add(new Waiting(last.seq(), h.origin, h.call.id(), d.outcome(), d.body()));
        }
    }

    private void read(Held h) {
        long id = nextReading++;
        readings.put(id, new Reading(h.origin, h.call.id(), h.call.arg(), nowMs));
        view.voters().forEach(v -> send(v, new Confirm(view.epoch(), id)));
    }

    private void onConfirmed(NodeId from, Confirmed c) {
        Reading r = readings.get(c.id());
        if (r == null || !c.ok() || view == null || c.epoch() != view.epoch() || !view.tail().equals(me) || !established()) {
            return;
        }
        r.ok.add(from);
        if (r.ok.size() >= view.majority()) {
            readings.remove(c.id());
            byte[] found = committed.config();
            if (r.what.equals(READ_RULES)) {
                Mark m = Content.mark(committed, MARK_RULES, "");
                found = m == null ? NONE : m.value().getBytes(java.nio.charset.StandardCharsets.UTF_8);
            }
            answer(r.origin, r.call, found.length == 0 ? Outcome.NO_SUCH : Outcome.TAKEN, found);
        }
    }

    private void answer(NodeId origin, long call, Outcome o, byte[] body) {
        Map<Long, Held> of = held.get(origin);
        if (of != null && of.containsKey(call)) {
            drained.add(of.get(call));
        }
        reply(origin, call, o, body);
    }

    private void reply(NodeId origin, long call, Outcome o, byte[] body) {
        if (origin.equals(me)) {
            out.add(new Out.Answer(call, o, body));
        } else {
            send(origin, new Reply(call, o.ordinal(), body));
        }
    }

    private void onReply(Reply r) {
        Map<Long, Held> of = held.get(me);
        if (of != null && of.remove(r.id()) != null) {
            out.add(new Out.Answer(r.id(), Outcome.values()[r.outcome()], r.body()));
        }
    }

    // ---- time

    @Override
    public List<Out> beat(long nowMs, Reach reach) {
        this.nowMs = nowMs;
        this.reach = reach;
        if (founds && foundingUntilMs < 0) {
            foundingUntilMs = nowMs + FOUNDING_MS;
        }
        announce();
        for (Map<Long, Held> of : held.values()) {
            of.values().removeIf(h -> {
                if (!overdue(h)) {
                    return false;
                }
                if (h.origin.equals(me)) {
                    out.add(new Out.Answer(h.call.id(), Outcome.UNCLEAR, NONE));
                }
                return true;
            });
        }
        readings.values().removeIf(r -> nowMs - r.sinceMs > HELD_CONFIG_MS);
        if (wiped) {
            if (nowMs >= nextRelearnMs) {
                nextRelearnMs = nowMs + 300;
                Set<NodeId> ask = new TreeSet<>(seeds);
                ask.addAll(reach.live());
                if (view != null) {
                    ask.addAll(view.voters());
                }
                ask.remove(me);
                ask.forEach(n -> send(n, new Relearn(nextToken++)));
            }
            return finish();
        }
        if (view == null) {
            return finish();
        }
        if (!view.voters().contains(me) && nowMs >= nextRelearnMs && !reach.live().isEmpty()) {
            // a learner that missed a view asks one that may know better
            nextRelearnMs = nowMs + 2000;
            List<NodeId> live = new ArrayList<>(reach.live());
            send(live.get(luck.nextInt(live.size())), new Relearn(nextToken++));
        }
        retryHeld();
        if (active()) {
            NodeId next = successor();
            if (next != null && reach.linked(me, next)) {
                if (sentDown < 0) {
                    pushDown();
                } else if (ackedDown < last.seq() && nowMs - sentDownMs > 400) {
                    sentDown = -1;
                    pushDown();
                }
            }
        }
        judge();
        return finish();
    }

    private void judge() {
        int voters = 0;
        List<NodeId> live = new ArrayList<>();
        for (NodeId v : view.voters()) {
            if (v.equals(me) || reach.linked(me, v)) {
                voters++;
                live.add(v);
            }
        }
        if (voters >= view.majority()) {
            quorumMs = nowMs;
        }
        if (proposal != null) {
            maybeAccept();
            if (proposal != null && nowMs - proposal.sinceMs > 700) {
                abandon();
            }
            return;
        }
        if (voters < view.majority() || !view.voters().contains(me)) {
            wrongSinceMs = -1;
            return;
        }
        long patienceMs = patience();
        if (patienceMs < 0) {
            wrongSinceMs = -1;
            return;
        }
        if (wrongSinceMs < 0) {
            wrongSinceMs = nowMs;
        }
        int rank = 0;
        List<NodeId> order = new ArrayList<>(view.chain());
        view.voters().stream().filter(v -> !order.contains(v)).forEach(order::add);
        for (NodeId v : order) {
            if (v.equals(me)) {
                break;
            }
            rank += live.contains(v) ? 1 : 0;
        }
        if (nowMs - wrongSinceMs >= patienceMs + rank * 350L && nowMs >= nextProposeMs) {
            propose();
        }
    }

    /** How long to bear what is wrong with the view, below 0 if nothing is. */
    private long patience() {
        if (fenced()) {
            return 500;
        }
        List<NodeId> chain = view.chain();
        for (int i = 0; i + 1 < chain.size(); i++) {
            if (!reach.linked(chain.get(i), chain.get(i + 1))) {
                return 200;
            }
        }
        long staying = chain.stream().filter(n -> !leaving(n)).count();
        if (staying < chain.size() && staying >= view.majority()) {
            return 0;
        }
        if (view.head().equals(me) && active() && last.seq() > (committed == null ? -1 : committed.seq())
                && nowMs - uncommittedMs > STALL_MS) {
            return 0;
        }
        if (view.head().equals(me) && last.lineage() < view.epoch()) {
            return 200;
        }
        for (NodeId v : view.voters()) {
            if (!chain.contains(v) && !leaving(v)) {
                for (NodeId c : chain) {
                    if (reach.linked(c, v) && (c.equals(me) || reach.linked(me, c)) && reach.linked(me, v)) {
                        return readdMs;
                    }
                }
            }
        }
        if (view.voters().size() < VOTERS_MAX) {
            for (NodeId n : reach.live()) {
                if (!view.voters().contains(n) && !leaving(n)) {
                    return founding(nowMs) ? 600 : 2000;
                }
            }
        }
        return -1;
    }

    private void propose() {
        Proposal p = new Proposal();
        p.epoch = view.epoch() + 1;
        round = Math.max(round, promisedEpoch == p.epoch ? promised >> 10 : 0) + 1;
        p.ballot = round << 10 | view.voters().indexOf(me) + 1;
        p.sinceMs = nowMs;
        proposal = p;
        for (NodeId v : view.voters()) {
            send(v, new Prepare(p.epoch, p.ballot, view));
        }
    }
}
