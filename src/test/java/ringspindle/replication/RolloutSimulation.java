package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.retry.AttemptOutcome;
import ringspindle.rollout.RolloutPlanner;

/**
 * A simulated fleet during a roll-out, over the real orders, plan, picker and actions: engines swap when it is their
 * turn and they are idle, crash and come back; the duty changes hands and the old holder goes on; news is late.
 */
final class RolloutSimulation {
    private static final long STEP_MS = 10;
    private static final long SWAP_MS = 1500;

    final List<RolloutRequest> history = new ArrayList<>();
    final List<String> wrong = new ArrayList<>();
    final List<String> orders = new ArrayList<>();
    final Map<String, RolloutEngine> engines = new LinkedHashMap<>();
    final List<LoadBalancer> pickers = new ArrayList<>();
    private final CommandDecider decider = new CommandDecider();
    final Random random;
    private final RolloutTraffic traffic = new RolloutTraffic(this);
    private final Map<Long, List<Runnable>> later = new TreeMap<>();
    private State state;
    private long nowMs;
    private int ids;
    private final double floor;
    private final boolean stubborn;
    private RolloutPlanner inCharge = new RolloutPlanner();
    /** The controller that was in charge before, and the epoch that it knows; below 0 if there was none. */
    private RolloutPlanner stale = new RolloutPlanner();

    private long staleEpoch = -1;

    RolloutSimulation(long seed, double floor, boolean stubborn) {
        random = new Random(seed);
        this.floor = floor;
        this.stubborn = stubborn;
        String json =
                "{\"revision\":1,\"routes\":[],\"services\":[{\"name\":\"s\",\"maxConnections\":400,\"warmupS\":1,\"warmupPerS\":60}]}";
        state = new State(1, 1, 1, List.of(), List.of(), FleetConfig.pack(json.getBytes(UTF_8)));
        FleetConfig configuration = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        for (int i = 0; i < 4; i++) {
            LoadBalancer picker = LoadBalancer.create(node(i));
            picker.updateConfiguration(configuration);
            picker.updateLease(new Lease(1, 4, 10_000_000), 0);
            pickers.add(picker);
        }
        for (int i = 0; i < 7; i++) {
            RolloutEngine s = new RolloutEngine("i-" + ids++, i < 4 ? "a" : "b", 1);
            engines.put(s.id, s);
        }
    }

    /** Settings of a data node; two stand in each of two regions. */
    private static NodeConfig node(int number) {
        Properties settings = new Properties();
        settings.setProperty("node.name", "n" + number);
        settings.setProperty("node.ip", "10.0.0." + (number + 1));
        settings.setProperty("node.zone", number % 2 == 0 ? "a1" : "b1");
        settings.setProperty("node.region", number % 2 == 0 ? "a" : "b");
        settings.setProperty("listen.inner", "7000");
        settings.setProperty("seeds", "10.0.0.9:80");
        settings.setProperty("zone.a1", "a");
        settings.setProperty("zone.b1", "b");
        settings.setProperty("bound.retryRatio", "0.2");
        settings.setProperty("bound.retrySlack", "100");
        settings.setProperty("bound.warmupOverrun", "1.5");
        settings.setProperty("bound.warmupSlack", "5");
        return ((Validated.Valid<NodeConfig>) NodeConfig.check(settings)).value();
    }

    long nowMs() {
        return nowMs;
    }

    void in(long ms, Runnable r) {
        later.computeIfAbsent((nowMs + ms + 9) / 10 * 10, k -> new ArrayList<>())
                .add(r);
    }

    Rollout rollout() {
        Mark m = ControlState.findMark(state, MarkKind.ROLLOUT, "s");
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
                    20 + random.nextInt(400),
                    () -> p.setEnginesInRollout("s", new HashSet<>(rollout().swapping()), nowMs));
        }
        checkFloor(r);
        return Outcome.TAKEN;
    }

    private void checkFloor(Rollout r) {
        Map<String, int[]> of = new TreeMap<>();
        for (RolloutEngine s : engines.values()) {
            int[] n = of.computeIfAbsent(s.region, k -> new int[2]);
            n[0]++;
            n[1] += r.swapping().contains(s.id) ? 0 : 1;
        }
        of.forEach((region, n) -> {
            if (n[1] < Math.ceil(floor * n[0] - 1e-9)) {
                wrong.add("in " + region + " just " + n[1] + " of " + n[0] + " serve");
            }
        });
        if (r.swapping().size() > r.maxUnavailable()) {
            wrong.add("more in turn than allowed: " + r.swapping());
        }
    }

    void run(long forMs) {
        if (order("{\"order\":\"start\",\"target\":2,\"from\":1,\"atOnce\":2,\"floor\":" + floor + ",\"patienceS\":8}")
                != Outcome.TAKEN) {
            wrong.add("the roll-out does not start");
        }
        for (; nowMs < forMs; nowMs += STEP_MS) {
            List<Runnable> due = later.remove(nowMs);
            if (due != null) {
                due.forEach(Runnable::run);
            }
            if (nowMs % 1200 == 0) {
                engines.values().forEach(this::heartbeat);
            }
            if (nowMs % 100 == 0) {
                probe();
            }
            if (nowMs % 300 == 0) {
                drive();
            }
            if (nowMs % 9000 == 8990) {
                changeHands();
            }
            if (nowMs % 7000 == 3500) {
                crash();
            }
            int burst = nowMs > forMs / 3 && nowMs < forMs / 2 ? 4 : 2;
            for (int i = 0; i < burst && nowMs < forMs - 4000; i++) {
                request();
            }
            engines.values().forEach(this::serve);
        }
    }

    /** Each data node probes the engines that its load balancer asks about. */
    private void probe() {
        for (int i = 0; i < pickers.size(); i++) {
            LoadBalancer picker = pickers.get(i);
            String region = i % 2 == 0 ? "a" : "b";
            for (HealthProbe probe : picker.dueHealthProbes(nowMs)) {
                RolloutEngine engine = engines.get(probe.id());
                boolean healthy = engine != null && !engine.down && !cut(engine.region.equals(region));
                picker.onHealthProbeResult(probe.id(), healthy, 0, nowMs);
            }
        }
    }

    /** The controller in charge takes a step, and so does the one before, which must come to nothing. */
    private void drive() {
        drive(inCharge, state.lineage());
        if (staleEpoch >= 0 && drive(stale, staleEpoch) == Outcome.TAKEN) {
            wrong.add("an order of epoch " + staleEpoch + " is taken at " + state.lineage());
        }
    }

    /** Another node is in charge; the one before does not know yet. */
    private void changeHands() {
        staleEpoch = state.lineage();
        stale = inCharge;
        inCharge = new RolloutPlanner();
        state = ControlState.inView(state, state.lineage() + 1);
    }

    private void request() {
        if (random.nextInt(3) != 0) {
            return;
        }
        RolloutRequest request =
                new RolloutRequest(random.nextBoolean(), random.nextInt(3) == 0 ? Set.of("a") : Set.of());
        history.add(request);
        traffic.receive(request, pickers.get(random.nextInt(pickers.size())));
    }

    /** For some seconds nothing new passes between the regions. */
    boolean cut(boolean sameRegion) {
        return !sameRegion && nowMs > 25_000 && nowMs < 31_000;
    }

    private void heartbeat(RolloutEngine s) {
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
            in(10 + random.nextInt(30) / 10 * 10, () -> p.updateEngine(id, e, version, nowMs));
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
        List<RolloutEngine> up = engines.values().stream().filter(s -> !s.down).toList();
        RolloutEngine s = up.get(random.nextInt(up.size()));
        s.down = true;
        List<RolloutTraffic.Run> runs = new ArrayList<>(s.running);
        s.running.clear();
        runs.forEach(run -> {
            run.request.engineCrashed = true;
            traffic.ended(run, AttemptOutcome.BROKEN);
        });
        in(1500, () -> {
            engines.remove(s.id);
            RolloutEngine next = new RolloutEngine("i-" + ids++, s.region, s.weights);
            engines.put(next.id, next);
            heartbeat(next);
        });
    }

    private void serve(RolloutEngine engine) {
        if (engine.down) {
            return;
        }
        traffic.serve(engine);
        boolean turn = rollout() != null && rollout().swapping().contains(engine.id);
        if (!turn || !engine.running.isEmpty() || engine.weights != rollout().previousWeights() || stubborn) {
            return;
        }
        if (engine.swapAtMs < 0) {
            engine.swapAtMs = nowMs + SWAP_MS;
        } else if (nowMs >= engine.swapAtMs) {
            engine.weights = rollout().targetWeights();
            engine.swapAtMs = -1;
            heartbeat(engine);
        }
    }

    /** Names every broken promise of the history. */
    List<String> problems() {
        List<String> problems = new ArrayList<>(wrong);
        for (int i = 0; i < history.size(); i++) {
            problems.addAll(history.get(i).problems(i + 1));
        }
        return problems;
    }
}
