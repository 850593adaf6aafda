package ringspindle.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import ringspindle.experiment.Experiment.Plan;
import ringspindle.experiment.Experiment.Progress;
import ringspindle.experiment.Experiment.Standing;
import ringspindle.protocol.Message.Outcomes;
import ringspindle.protocol.NodeId;

/**
 * A simulated day with an experiment: sessions of three regions ask through data nodes, which report to a control node of their
 * region; one control node judges. Times to the first byte follow the session, the region's load, bursts and the loss of a
 * region, which meet both sides, and the planted effect of the second side's policy. Nodes restart, are cut off and change
 * control nodes; the judge changes. The tables, collectors and the watch are the real ones. All from one seed.
 */
final class ExperimentDay {
    /** What the second side's policy does: to one route, in one region or in all, all day or in bursts only. */
    record Effect(String route, int region, double extraMs, double extraBroken, boolean inBurstsOnly) {
        static final Effect NONE = new Effect("", 0, 0, 0, false);
        static final int ALL_REGIONS = -1;
    }

    /** A fault of the division or the counting that the checks of histories must notice. */
    enum Planted {
        NOTHING,
        /** The side is drawn for each request. */
        SIDE_BY_REQUEST,
        /** The side depends on the node. */
        SIDE_BY_NODE,
        /** Every report is counted as if it came from another source as well. */
        COUNTED_TWICE
    }

    /**
     * What became of the day.
     *
     * @param experiment as it stands in the end
     * @param haltedMs when it was halted, -1 if it was not
     * @param lateBefore requests of the shorter route on the second side that were late before the halt was in force
     * @param problems promises that were broken
     */
    record Result(Experiment experiment, long haltedMs, long lateBefore, List<String> problems) {}

    static final int ROUTES = 2;
    private static final String[] ROUTE_NAMES = {"scrip", "digest"};
    private static final int[] TARGET_MS = {500, 800};
    private static final double[] USUAL_MS = {150, 340};
    private static final int REGIONS = 3;
    private static final int NODES_A_REGION = 4;
    private static final int SESSIONS = 900;
    private static final int STEP_MS = 100;
    private static final int REPORT_MS = 2000;
    private static final int SUM_MS = 1000;
    private static final int JUDGE_MS = 500;
    private static final int SPREAD_MS = 400;
    private static final long EXPERIMENT = 11;

    private static final class Node {
        final int region;
        final NodeId id;
        ExperimentTable table = new ExperimentTable();
        OutcomeTable outcomes = new OutcomeTable();
        long life = 1;
        long sequence;
        long cutUntilMs;
        int collector;
        int toldCollector = -1;
        long unreported;

        Node(int region, int number) {
            this.region = region;
            this.id = NodeId.of("10." + region + ".0." + (number + 1) + ":7721");
            collector = region;
        }
    }

    private final Random random;
    private final Effect effect;
    private final Planted planted;
    private final int lengthMs;
    private final int requestsAStep;
    private final List<Node> nodes = new ArrayList<>();
    private final List<OutcomeCollector> collectors = new ArrayList<>();
    private final double[] sessionFactor = new double[SESSIONS];
    private final Map<String, Integer> sideOfSession = new HashMap<>();
    private final List<String> problems = new ArrayList<>();
    private Experiment committed;
    private long committedVersion = 1;
    private ExperimentWatch watch;
    private int judge;
    private long counted;
    private long lostInRestarts;
    private long nowMs;
    private long haltedMs = -1;
    private long lateBefore;
    private int lostRegion = -1;
    private long lostUntilMs;
    private long burstUntilMs;

    ExperimentDay(long seed, Effect effect, Planted planted, int lengthS, int requestsPerS) {
        random = new Random(seed);
        this.effect = effect;
        this.planted = planted;
        lengthMs = lengthS * 1000;
        requestsAStep = Math.max(1, requestsPerS * STEP_MS / 1000);
        for (int region = 0; region < REGIONS; region++) {
            collectors.add(new OutcomeCollector());
            for (int number = 0; number < NODES_A_REGION; number++) {
                nodes.add(new Node(region, number));
            }
        }
        for (int session = 0; session < SESSIONS; session++) {
            sessionFactor[session] = Math.exp(0.35 * random.nextGaussian());
        }
        List<Side> sides = List.of(new Side("as-is", 0.5, Policy.DEFAULT), new Side("new", 0.5, Policy.DEFAULT));
        Plan plan = new Plan("e", List.of(ROUTE_NAMES), "salt" + seed, sides, 0.05, 0.02, 0.5, 5, lengthS);
        committed = Experiment.start(plan, 1, EXPERIMENT);
        watch = new ExperimentWatch(committed, 0);
    }

    Result run() {
        for (nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
            faults();
            nodes.forEach(this::hear);
            for (int i = 0; i < requestsAStep; i++) {
                request();
            }
            passOn();
        }
        checkTotals();
        return new Result(committed, haltedMs, lateBefore, problems);
    }

    private void faults() {
        if (chance(40_000)) {
            burstUntilMs = nowMs + 6000;
        }
        if (lostRegion < 0 && chance(60_000)) {
            lostRegion = random.nextInt(REGIONS);
            lostUntilMs = nowMs + 5000;
        } else if (lostRegion >= 0 && nowMs >= lostUntilMs) {
            lostRegion = -1;
        }
        if (chance(15_000)) {
            restart(anyNode());
        }
        if (chance(15_000)) {
            anyNode().cutUntilMs = nowMs + random.nextInt(12_000);
        }
        if (chance(10_000)) {
            anyNode().collector = random.nextInt(REGIONS);
        }
        if (chance(30_000)) {
            judge = random.nextInt(REGIONS);
            watch = new ExperimentWatch(committed, nowMs);
        }
    }

    private boolean chance(int everyMs) {
        return random.nextInt(everyMs / STEP_MS) == 0;
    }

    private Node anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private void restart(Node node) {
        lostInRestarts += node.unreported;
        node.unreported = 0;
        node.life++;
        node.sequence = 0;
        node.toldCollector = -1;
        node.table = new ExperimentTable();
        node.outcomes = new OutcomeTable();
    }

    /** What is committed reaches a node that is not cut off, a moment later. */
    private void hear(Node node) {
        if (node.cutUntilMs > nowMs) {
            return;
        }
        node.table.renew(nowMs);
        boolean spread = committed.isOpen() || nowMs - haltedMs >= SPREAD_MS;
        if (spread) {
            node.table.update(committed, committedVersion);
        }
    }

    private void request() {
        int session = (int) (SESSIONS * Math.pow(random.nextDouble(), 1.5));
        Node node = nodes.get(session % REGIONS * NODES_A_REGION + random.nextInt(NODES_A_REGION));
        int route = random.nextInt(10) < 8 ? 0 : 1;
        String name = "s" + session;
        Optional<Assignment> assigned = node.table.assign(ROUTE_NAMES[route], planted(name, node) + ":250", nowMs);
        if (assigned.isEmpty() || !assigned.get().isCounted()) {
            checkAfterHalt(node, assigned);
            return;
        }
        int side = assigned.get().side();
        Integer before = sideOfSession.putIfAbsent(name, side);
        if (before != null && before != side) {
            problems.add("session " + name + " changes from side " + before + " to " + side);
        }
        answer(node, route, session, assigned.get());
    }

    private String planted(String session, Node node) {
        return switch (planted) {
            case SIDE_BY_REQUEST -> session + random.nextInt(1000);
            case SIDE_BY_NODE -> session + node.id;
            default -> session;
        };
    }

    private void checkAfterHalt(Node node, Optional<Assignment> assigned) {
        if (assigned.isPresent() && committed.isOpen()) {
            problems.add("node " + node.id + " follows the end of an experiment that is open");
        }
    }

    private void answer(Node node, int route, int session, Assignment assignment) {
        boolean burst = nowMs < burstUntilMs;
        boolean affected = assignment.side() == 1
                && ROUTE_NAMES[route].equals(effect.route())
                && (effect.region() == Effect.ALL_REGIONS || effect.region() == node.region)
                && (burst || !effect.inBurstsOnly());
        double load = 1 + 0.3 * Math.sin(nowMs / 26_000.0 * 2 * Math.PI + node.region) + (burst ? 1.2 : 0);
        double firstMs = USUAL_MS[route] * sessionFactor[session] * load * Math.exp(0.3 * random.nextGaussian());
        boolean broken = random.nextInt(500) == 0 || node.region == lostRegion && random.nextInt(3) > 0;
        if (affected) {
            firstMs += effect.extraMs();
            broken |= random.nextDouble() < effect.extraBroken();
        }
        boolean inTarget = !broken && firstMs <= TARGET_MS[route];
        node.outcomes.add(assignment, inTarget, broken ? -1 : (long) firstMs, TARGET_MS[route]);
        node.unreported++;
        counted++;
        if (assignment.side() == 1 && route == 0 && !inTarget && haltedMs < 0) {
            lateBefore++;
        }
    }

    // ---- reports, sums and the judge

    private void passOn() {
        if (nowMs % REPORT_MS == 0) {
            nodes.forEach(this::report);
        }
        if (nowMs % SUM_MS == 0) {
            for (int from = 0; from < REGIONS; from++) {
                NodeId id = control(from);
                for (Outcomes sum : collectors.get(from).ownSums(1, nowMs + 1)) {
                    for (int to = 0; to < REGIONS; to++) {
                        if (to != from) {
                            collectors.get(to).summed(id, sum, nowMs);
                        }
                    }
                }
            }
        }
        if (nowMs % JUDGE_MS == 0 && committed.isOpen()) {
            watch.next(committed, collectors.get(judge).totals(EXPERIMENT, nowMs), REGIONS, nowMs)
                    .ifPresent(this::commit);
        }
    }

    private static NodeId control(int region) {
        return NodeId.of("10." + region + ".1.1:7720");
    }

    private void report(Node node) {
        if (node.cutUntilMs > nowMs) {
            return;
        }
        boolean whole = node.collector != node.toldCollector || random.nextInt(8) == 0;
        node.toldCollector = node.collector;
        for (Outcomes report : node.outcomes.report(node.life, ++node.sequence, "r" + node.region, whole)) {
            collectors.get(node.collector).reported(node.id, report);
            if (planted == Planted.COUNTED_TWICE) {
                collectors.get(node.collector).reported(control(node.region), report);
            }
        }
        node.unreported = 0;
    }

    private void commit(JudgeOrder order) {
        committedVersion++;
        if (order instanceof JudgeOrder.Look look) {
            Progress next = look.progress();
            if (next.looks() != committed.progress().looks() + 1) {
                problems.add("look " + next.looks() + " after "
                        + committed.progress().looks());
            }
            committed = committed.lookedAt(next);
        } else if (order instanceof JudgeOrder.Worse worse) {
            committed = committed.with(Standing.HALTED, worse.survivor(), worse.cause());
        } else if (order instanceof JudgeOrder.Harm harm) {
            committed = committed.with(Standing.HALTED, "", harm.cause());
        } else if (order instanceof JudgeOrder.Over over) {
            committed = committed.with(Standing.ENDED, "", over.cause());
        } else if (order instanceof JudgeOrder.Stop stop) {
            committed = committed.with(Standing.PAUSED, "", stop.cause());
        }
        if (!committed.isOpen() && haltedMs < 0) {
            haltedMs = nowMs;
        }
    }

    /** When all have told all, each outcome that was not lost with its node is counted once. */
    private void checkTotals() {
        nodes.forEach(node -> node.cutUntilMs = 0);
        for (int round = 0; round < 3; round++) {
            nowMs += REPORT_MS - nowMs % REPORT_MS;
            passOn();
        }
        OutcomeCollector.Totals totals = collectors.get(judge).totals(EXPERIMENT, nowMs);
        if (!totals.consistent()) {
            problems.add("a source counts at two control nodes");
        }
        if (totals.requests() != counted - lostInRestarts) {
            problems.add(totals.requests() + " counted of " + counted + ", " + lostInRestarts + " lost in restarts");
        }
    }
}
