package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.api.Outcome;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.config.Validated;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.loadbalancing.LoadBalancer.HealthProbe;
import ringspindle.loadbalancing.LoadBalancer.SelectedEngine;
import ringspindle.loadbalancing.LoadBalancer.Selection;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.retry.Action;
import ringspindle.retry.Attempt;
import ringspindle.retry.AttemptOutcome;
import ringspindle.retry.CancelCause;
import ringspindle.retry.RetryDecision;
import ringspindle.retry.RetryPolicy;
import ringspindle.rollout.RolloutPlanner;

/**
 * A simulated fleet during a roll-out, over the real orders, plan, picker and actions: engines swap when it is their
 * turn and they are idle, crash and come back; the duty changes hands and the old holder goes on; news is late.
 */
final class RolloutSimulation {
    /** One request as its consumer saw it. */
    static final class RequestAttributes {
        final boolean resumable;
        final Set<String> homes;
        final List<Long> pieces = new ArrayList<>();
        final List<Long> weights = new ArrayList<>();
        final Set<String> ran = new LinkedHashSet<>();
        int answers;
        boolean whole;
        boolean brokenOff;
        boolean refused;
        boolean engineCrashed;

        RequestAttributes(boolean resumable, Set<String> homes) {
            this.resumable = resumable;
            this.homes = homes;
        }
    }

    static final class Stand {
        String id;
        final String region;
        long weights;
        long version = 1;
        boolean down;
        long swapAtMs = -1;
        final List<Run> running = new ArrayList<>();

        Stand(String id, String region, long weights) {
            this.id = id;
            this.region = region;
            this.weights = weights;
        }
    }

    static final class Run {
        RequestAttributes asked;
        Action action;
        Attempt attempt;
        SelectionRequest ask;
        LoadBalancer picker;
        Stand stand;
        long endMs;
        int pieces;
    }

    final List<RequestAttributes> history = new ArrayList<>();
    final List<String> wrong = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final Map<String, Stand> engines = new LinkedHashMap<>();
    private final List<LoadBalancer> pickers = new ArrayList<>();
    private final OrderDecider decider = new OrderDecider();
    private final Random luck;
    private final Map<Long, List<Runnable>> later = new TreeMap<>();
    private State state;
    private long nowMs;
    private int ids;
    private final double floor;
    private final boolean stubborn;

    RolloutSimulation(long seed, double floor, boolean stubborn) {
        luck = new Random(seed);
        this.floor = floor;
        this.stubborn = stubborn;
        String json =
                "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"maxConnections\":400,\"warmupS\":1,\"warmupPerS\":60}]}";
        state = new State(1, 1, 1, List.of(), List.of(), FleetConfig.pack(json.getBytes(UTF_8)));
        FleetConfig c = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        for (int i = 0; i < 4; i++) {
            Properties p = new Properties();
            p.putAll(Map.of(
                    "node.name",
                    "n" + i,
                    "node.ip",
                    "10.0.0." + (i + 1),
                    "node.zone",
                    i % 2 == 0 ? "a1" : "b1",
                    "node.region",
                    i % 2 == 0 ? "a" : "b",
                    "listen.inner",
                    "7000",
                    "seeds",
                    "10.0.0.9:80",
                    "zone.a1",
                    "a",
                    "zone.b1",
                    "b"));
            p.putAll(Map.of(
                    "bound.retryRatio",
                    "0.2",
                    "bound.retrySlack",
                    "100",
                    "bound.warmupOverrun",
                    "1.5",
                    "bound.warmupSlack",
                    "5"));
            LoadBalancer x = LoadBalancer.create(((Validated.Valid<NodeConfig>) NodeConfig.check(p)).value());
            x.updateConfiguration(c);
            x.updateLease(new Lease(1, 4, 10_000_000), 0);
            pickers.add(x);
        }
        for (int i = 0; i < 7; i++) {
            Stand s = new Stand("i-" + ids++, i < 4 ? "a" : "b", 1);
            engines.put(s.id, s);
        }
    }

    private void in(long ms, Runnable r) {
        later.computeIfAbsent((nowMs + ms + 9) / 10 * 10, k -> new ArrayList<>())
                .add(r);
    }

    Rollout rollout() {
        Mark m = ControlState.mark(state, MarkKind.ROLLOUT, "s");
        return m == null ? null : Rollout.read(m.value());
    }

    /** Sends an order; a stale epoch must be refused. */
    Outcome order(String json) {
        // whoever takes the order knows of all that came before it
        Call call = CallKind.ROLLOUT.call(1, 0, "s", json.getBytes(UTF_8)).since(state.seq());
        Decision decision = decider.decide(state, call);
        if (decision instanceof Decision.Answer answer) {
            return answer.outcome();
        }
        state = ControlState.apply(state, ((Decision.Commit) decision).op());
        Rollout r = rollout();
        // the news takes its time to each node
        for (LoadBalancer p : pickers) {
            in(
                    20 + luck.nextInt(400),
                    () -> p.setRolloutTurn("s", new HashSet<>(rollout().turn()), nowMs));
        }
        checkFloor(r);
        return Outcome.TAKEN;
    }

    private void checkFloor(Rollout r) {
        Map<String, int[]> of = new TreeMap<>();
        for (Stand s : engines.values()) {
            int[] n = of.computeIfAbsent(s.region, k -> new int[2]);
            n[0]++;
            n[1] += r.turn().contains(s.id) ? 0 : 1;
        }
        of.forEach((region, n) -> {
            if (n[1] < Math.ceil(floor * n[0] - 1e-9)) {
                wrong.add("in " + region + " just " + n[1] + " of " + n[0] + " serve");
            }
        });
        if (r.turn().size() > r.atOnce()) {
            wrong.add("more in turn than allowed: " + r.turn());
        }
    }

    void run(long forMs) {
        if (order("{\"order\":\"start\",\"target\":2,\"from\":1,\"atOnce\":2,\"floor\":" + floor + ",\"patienceS\":8}")
                != Outcome.TAKEN) {
            wrong.add("the roll-out does not start");
        }
        RolloutPlanner holder = new RolloutPlanner();
        RolloutPlanner stale = new RolloutPlanner();
        long staleEpoch = -1;
        for (; nowMs < forMs; nowMs += 10) {
            List<Runnable> due = later.remove(nowMs);
            if (due != null) {
                due.forEach(Runnable::run);
            }
            if (nowMs % 1200 == 0) {
                engines.values().forEach(this::beat);
            }
            if (nowMs % 100 == 0) {
                for (int i = 0; i < pickers.size(); i++) {
                    LoadBalancer p = pickers.get(i);
                    String region = i % 2 == 0 ? "a" : "b";
                    for (HealthProbe x : p.dueHealthProbes(nowMs)) {
                        Stand s = engines.get(x.id());
                        p.onHealthProbeResult(x.id(), s != null && !s.down && !cut(s.region.equals(region)), 0, nowMs);
                    }
                }
            }
            if (nowMs % 300 == 0) {
                drive(holder, state.lineage());
                if (staleEpoch >= 0) {
                    Outcome o = drive(stale, staleEpoch);
                    if (o == Outcome.TAKEN) {
                        wrong.add("an order of epoch " + staleEpoch + " is taken at " + state.lineage());
                    }
                }
            }
            if (nowMs % 9000 == 8990) {
                // the duty changes hands; the old holder does not know yet
                staleEpoch = state.lineage();
                stale = holder;
                holder = new RolloutPlanner();
                state = new State(
                        state.lineage() + 1,
                        state.seq(),
                        state.revision(),
                        state.past(),
                        state.marks(),
                        state.config());
            }
            if (nowMs % 7000 == 3500) {
                crash();
            }
            int burst = nowMs > forMs / 3 && nowMs < forMs / 2 ? 4 : 2;
            for (int i = 0; i < burst && nowMs < forMs - 4000; i++) {
                if (luck.nextInt(3) == 0) {
                    RequestAttributes a =
                            new RequestAttributes(luck.nextBoolean(), luck.nextInt(3) == 0 ? Set.of("a") : Set.of());
                    history.add(a);
                    LoadBalancer p = pickers.get(luck.nextInt(pickers.size()));
                    p.onRequestReceived("s", nowMs);
                    place(a, Action.open("a", nowMs, 4000, t -> {}), p, new HashSet<>());
                }
            }
            engines.values().forEach(this::serve);
        }
    }

    /** For some seconds nothing new passes between the regions. */
    private boolean cut(boolean sameRegion) {
        return !sameRegion && nowMs > 25_000 && nowMs < 31_000;
    }

    private void beat(Stand s) {
        if (s.down) {
            return;
        }
        s.version++;
        Engine e = new Engine(
                64,
                0,
                false,
                -1,
                s.weights,
                "s",
                "10.1.0." + (1 + Integer.parseInt(s.id.substring(2)) % 250) + ":80",
                s.region + "1",
                "v");
        long version = s.version;
        String id = s.id;
        for (LoadBalancer p : pickers) {
            in(10 + luck.nextInt(30) / 10 * 10, () -> p.updateEngine(id, e, version, nowMs));
        }
    }

    private Outcome drive(RolloutPlanner plan, long epoch) {
        List<RolloutPlanner.Member> members = new ArrayList<>();
        engines.values().forEach(s -> members.add(new RolloutPlanner.Member(s.id, s.region, s.weights, false, s.down)));
        RolloutPlanner.Order o = plan.next(rollout(), members, nowMs);
        if (o == null) {
            return Outcome.CLASH;
        }
        Outcome out = order("{\"order\":\"" + o.order() + "\",\"id\":\"" + o.id() + "\",\"cause\":\"" + o.cause()
                + "\",\"epoch\":" + epoch + "}");
        if (out == Outcome.TAKEN) {
            orders.add(o.order() + " " + o.cause());
        }
        return out;
    }

    /** An engine crashes with all it runs, and a new life comes back a little later. */
    private void crash() {
        List<Stand> up = engines.values().stream().filter(s -> !s.down).toList();
        Stand s = up.get(luck.nextInt(up.size()));
        s.down = true;
        List<Run> runs = new ArrayList<>(s.running);
        s.running.clear();
        runs.forEach(r -> {
            r.asked.engineCrashed = true;
            ended(r, AttemptOutcome.BROKEN);
        });
        in(1500, () -> {
            engines.remove(s.id);
            Stand next = new Stand("i-" + ids++, s.region, s.weights);
            engines.put(next.id, next);
            beat(next);
        });
    }

    private void place(RequestAttributes a, Action action, LoadBalancer p, Set<String> tried) {
        if (!action.isLive(nowMs)) {
            close(a, action, false);
            return;
        }
        long weights = a.weights.isEmpty() ? -1 : a.weights.get(0);
        SelectionRequest ask = new SelectionRequest("s", a.homes, 0, 0, 200, 50, tried, weights, luck.nextLong());
        Selection c = p.select(ask, nowMs);
        if (!(c instanceof SelectedEngine chosen)) {
            if (a.pieces.isEmpty() && !action.mayHaveRun()) {
                a.refused = true;
                action.cancel(CancelCause.GIVEN_UP, nowMs);
            } else {
                close(a, action, false);
            }
            return;
        }
        Run r = new Run();
        r.asked = a;
        r.action = action;
        r.ask = ask;
        r.picker = p;
        r.attempt = action.startAttempt(nowMs, 0);
        r.stand = engines.get(chosen.id());
        tried.add(chosen.id());
        if (r.stand != null && cut(r.stand.region.equals(pickers.indexOf(p) % 2 == 0 ? "a" : "b"))) {
            // no wire comes up over the cut: nothing was sent
            in(10, () -> ended(r, AttemptOutcome.NOT_SENT));
            return;
        }
        r.attempt.markSent();
        if (r.stand == null || r.stand.down) {
            Stand gone = r.stand;
            in(10, () -> ended(r, gone == null ? AttemptOutcome.MISDIRECTED : AttemptOutcome.BROKEN));
            return;
        }
        if (weights >= 0 && r.stand.weights != weights) {
            // Expected-Revision: the engine answers 421 and does not run it
            in(10, () -> ended(r, AttemptOutcome.NOT_RUN));
            return;
        }
        if (!a.homes.isEmpty() && !a.homes.contains(r.stand.region)) {
            wrong.add("a request left its homes");
        }
        if (!a.resumable && !a.ran.isEmpty()) {
            wrong.add("a request that may run once ran again");
        }
        a.ran.add(r.stand.id);
        r.endMs = nowMs + 50 + luck.nextInt(1200);
        r.stand.running.add(r);
    }

    private void serve(Stand s) {
        if (s.down) {
            return;
        }
        for (Run r : new ArrayList<>(s.running)) {
            if (nowMs % 50 == 0) {
                piece(r, s);
            }
            if (nowMs >= r.endMs) {
                s.running.remove(r);
                if (r.asked.pieces.isEmpty() || r.pieces == 0) {
                    piece(r, s);
                }
                r.picker.onAttemptEnded(s.id, r.ask, AttemptOutcome.ANSWERED, 10, nowMs);
                r.action.endAttempt(
                        r.attempt,
                        AttemptOutcome.ANSWERED,
                        new RetryPolicy(r.asked.resumable, r.asked.resumable, r.asked.resumable ? 2 : 1),
                        nowMs);
                close(r.asked, r.action, true);
            }
        }
        boolean turn = rollout() != null && rollout().turn().contains(s.id);
        if (turn && s.running.isEmpty() && s.weights == rollout().from() && !stubborn) {
            if (s.swapAtMs < 0) {
                s.swapAtMs = nowMs + 1500;
            } else if (nowMs >= s.swapAtMs) {
                s.weights = rollout().target();
                s.swapAtMs = -1;
                beat(s);
            }
        }
    }

    private void piece(Run r, Stand s) {
        r.pieces++;
        r.asked.pieces.add((long) r.asked.pieces.size() + 1);
        r.asked.weights.add(s.weights);
        r.action.commitResponse();
    }

    private void ended(Run r, AttemptOutcome end) {
        r.picker.onAttemptEnded(r.ask == null ? "" : r.stand == null ? "" : r.stand.id, r.ask, end, -1, nowMs);
        RetryDecision v = r.action.endAttempt(
                r.attempt,
                end,
                new RetryPolicy(r.asked.resumable, r.asked.resumable, r.asked.resumable ? 2 : 1),
                nowMs);
        Set<String> tried = new HashSet<>(r.ask.excludedEngineIds());
        if (r.stand != null) {
            tried.add(r.stand.id);
        }
        if ((v == RetryDecision.FALLBACK || v == RetryDecision.RESUME) && r.picker.tryAcquireRetry("s", nowMs)) {
            place(r.asked, r.action, r.picker, tried);
        } else if (v == RetryDecision.REFUSE || v == RetryDecision.FALLBACK && !r.action.mayHaveRun()) {
            r.asked.refused = true;
            r.action.cancel(CancelCause.GIVEN_UP, nowMs);
        } else if (v != RetryDecision.NOTHING) {
            close(r.asked, r.action, false);
        }
    }

    private void close(RequestAttributes a, Action action, boolean whole) {
        boolean won = whole ? action.complete(nowMs) : action.cancel(CancelCause.GIVEN_UP, nowMs);
        if (won) {
            a.answers++;
            a.whole = whole;
            a.brokenOff = !whole;
        }
    }

    /** Names every broken promise of the history. */
    List<String> problems() {
        List<String> out = new ArrayList<>(wrong);
        int n = 0;
        for (RequestAttributes a : history) {
            n++;
            if (a.answers > 1 || a.answers == 1 && a.refused) {
                out.add("request " + n + " has two answers");
            }
            if (a.answers == 0 && !a.refused) {
                out.add("request " + n + " has no answer");
            }
            if (new HashSet<>(a.weights).size() > 1) {
                out.add("request " + n + " mixes checkpoints " + new LinkedHashSet<>(a.weights));
            }
            if (a.refused && !a.pieces.isEmpty()) {
                out.add("request " + n + " was refused though it ran");
            }
            if (a.brokenOff && !a.engineCrashed && !a.ran.isEmpty() && a.pieces.isEmpty()) {
                out.add("request " + n + " was lost without a crash");
            }
            if (a.brokenOff && !a.engineCrashed && !a.pieces.isEmpty()) {
                out.add("request " + n + " was broken off without a crash");
            }
            for (int i = 0; i < a.pieces.size(); i++) {
                if (a.pieces.get(i) != i + 1) {
                    out.add("request " + n + " has gaps");
                }
            }
        }
        return out;
    }
}
