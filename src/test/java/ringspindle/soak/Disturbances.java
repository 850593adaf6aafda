package ringspindle.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import ringspindle.soak.SoakTopology.Role;

/**
 * A seeded plan of series that overlap: nodes told to end in turn, all nodes of the homes told to end at once, settings
 * reloaded, and, unless only planned work is wanted, nodes killed. Each series begins while earlier ones go on.
 */
final class Disturbances {
    private static final int FIRST_MS = 500;
    private static final int BETWEEN_SERIES_MS = 1800;
    private static final int BETWEEN_STEPS_MS = 900;
    private static final int QUIET_END_MS = 1000;

    /** What is done to one node. */
    private enum Action {
        TERMINATE,
        RELOAD,
        KILL,
        KILL_AND_WIPE,
        CUT
    }

    private record Step(int atMs, Action action, NodeProcess target) {}

    private static final int CUT_MIN_MS = 1000;
    private static final int CUT_SPREAD_MS = 4000;

    private final List<Step> steps = new ArrayList<>();
    private final Random random;
    private final SoakRelay relay;
    /** A soak has either cuts or a lost disk: what a side that was cut off took rests on its own disks. */
    private boolean diskLost;

    private boolean cut;

    Disturbances(List<NodeProcess> nodes, SoakRelay relay, int lengthMs, boolean plannedOnly, long seed) {
        this.relay = relay;
        random = new Random(seed);
        int atMs = FIRST_MS;
        while (atMs < lengthMs - QUIET_END_MS) {
            addSeries(nodes, atMs, plannedOnly);
            atMs += 1 + random.nextInt(BETWEEN_SERIES_MS);
        }
        steps.removeIf(step -> step.atMs() >= lengthMs - QUIET_END_MS);
    }

    private void addSeries(List<NodeProcess> nodes, int atMs, boolean plannedOnly) {
        switch (random.nextInt(plannedOnly ? 4 : 8)) {
            case 0 -> inTurn(Action.TERMINATE, of(nodes, Role.DATA_PLANE), atMs);
            case 1 -> inTurn(Action.TERMINATE, of(nodes, Role.CONTROL_PLANE).subList(0, 1), atMs);
            case 2 -> atOnce(Action.TERMINATE, homeDataNodes(nodes), atMs);
            case 3 -> inTurn(Action.RELOAD, shuffled(nodes), atMs);
            case 4, 5 -> inTurn(Action.KILL, shuffled(nodes).subList(0, 2), atMs);
            case 6 -> addCut(nodes, atMs);
            default -> addLostDisk(nodes, atMs);
        }
    }

    private void addCut(List<NodeProcess> nodes, int atMs) {
        if (!diskLost) {
            cut = true;
            steps.add(new Step(atMs, Action.CUT, shuffled(nodes).get(0)));
        }
    }

    private void addLostDisk(List<NodeProcess> nodes, int atMs) {
        if (!cut && !diskLost) {
            diskLost = true;
            steps.add(new Step(
                    atMs, Action.KILL_AND_WIPE, of(nodes, Role.CONTROL_PLANE).get(0)));
        }
    }

    /** A node alone, or all of its region. */
    private void cutOff(NodeProcess target) {
        int forMs = CUT_MIN_MS + random.nextInt(CUT_SPREAD_MS);
        boolean alone = random.nextBoolean();
        Set<String> side = alone ? Set.of(target.node().ip()) : target.regionIps();
        relay.cut(side, forMs);
    }

    private void inTurn(Action action, List<NodeProcess> targets, int atMs) {
        int gapMs = 1 + random.nextInt(BETWEEN_STEPS_MS);
        int stepMs = atMs;
        for (NodeProcess target : targets) {
            steps.add(new Step(stepMs, action, target));
            stepMs += gapMs;
        }
    }

    private void atOnce(Action action, List<NodeProcess> targets, int atMs) {
        targets.forEach(target -> steps.add(new Step(atMs, action, target)));
    }

    private List<NodeProcess> of(List<NodeProcess> nodes, Role role) {
        return shuffled(
                nodes.stream().filter(node -> node.node().role() == role).toList());
    }

    private static List<NodeProcess> homeDataNodes(List<NodeProcess> nodes) {
        return nodes.stream()
                .filter(node -> node.node().role() == Role.DATA_PLANE)
                .filter(node -> SoakTopology.HOMES.contains(node.node().region()))
                .toList();
    }

    private List<NodeProcess> shuffled(List<NodeProcess> nodes) {
        List<NodeProcess> order = new ArrayList<>(nodes);
        Collections.shuffle(order, random);
        return order;
    }

    int count() {
        return steps.size();
    }

    /** Has all of it done in time by the scheduler. */
    void schedule(ScheduledExecutorService scheduler) {
        for (Step step : steps) {
            scheduler.schedule(() -> carryOut(step), step.atMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void carryOut(Step step) {
        switch (step.action()) {
            case TERMINATE -> step.target().terminate();
            case KILL -> step.target().kill();
            case KILL_AND_WIPE -> step.target().killAndWipe();
            case CUT -> cutOff(step.target());
            case RELOAD -> {
                try {
                    step.target().reload();
                } catch (IOException failure) {
                    throw new UncheckedIOException(failure);
                }
            }
        }
    }
}
