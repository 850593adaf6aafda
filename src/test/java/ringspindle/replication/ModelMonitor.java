package ringspindle.replication;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.Codec;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.TakenOrder;
import ringspindle.protocol.Message.View;

/** Checks that hold after every step, over all machines at once. */
final class ModelMonitor {
    private static final String ON = "on";
    private static final long UNDER_WAY_MS = 1000;
    private static final String OFF = "off";

    /** What was acknowledged last of a zone, and the newest sequence number committed anywhere by then. */
    private record Evacuation(boolean on, long seq) {}

    private final ModelWorld world;
    private final int lost;
    private final Map<Long, View> views = new HashMap<>();
    private final Map<Long, Integer> states = new HashMap<>();
    private final Map<String, Evacuation> evacuations = new TreeMap<>();
    /** The newest committed version of each zone's mark, apart for both of its values. */
    private final Map<String, Long> markVersions = new HashMap<>();

    private final List<ModelViolation> violations = new ArrayList<>();
    private long newestSeq;
    private long newestEpoch;
    int maximumVoters;

    ModelMonitor(ModelWorld world, int lost) {
        this.world = world;
        this.lost = lost;
    }

    void report(ModelViolation.Kind kind, String detail) {
        violations.add(new ModelViolation(kind, detail, world.nowMs));
    }

    List<ModelViolation> violations() {
        return violations;
    }

    boolean broken() {
        return !violations.isEmpty();
    }

    long epochs() {
        return newestEpoch;
    }

    /** One decided view per epoch. */
    void checkView(ModelNode node) {
        View view = node.chain.view();
        if (view == null) {
            return;
        }
        View known = views.putIfAbsent(view.epoch(), view);
        if (known != null && !known.equals(view)) {
            report(ModelViolation.Kind.TWO_VIEWS, node + " holds " + view + ", another held " + known);
            views.put(view.epoch(), view);
        }
        newestEpoch = Math.max(newestEpoch, view.epoch());
        maximumVoters = Math.max(maximumVoters, view.voters().size());
    }

    /** One committed state per sequence number, never back within a life, no acknowledged mark undone. */
    void checkCommitted(ModelNode node, State state) {
        if (state.seq() < node.committedSeq) {
            report(ModelViolation.Kind.WENT_BACK, node + " goes from seq " + node.committedSeq + " to " + state.seq());
        }
        node.committedSeq = state.seq();
        newestSeq = Math.max(newestSeq, state.seq());
        int content = content(state);
        Integer known = states.putIfAbsent(state.seq(), content);
        if (known != null && known != content) {
            report(ModelViolation.Kind.DIVERGED, node + " committed another state as seq " + state.seq());
            return;
        }
        for (Mark mark : state.marks()) {
            markVersions.merge(mark.key() + mark.value(), mark.version(), Math::max);
        }
        evacuations.forEach((zone, order) -> checkEvacuation(state, zone, order));
    }

    private void checkEvacuation(State state, String zone, Evacuation order) {
        if (state.seq() > order.seq() && isOn(state, zone) != order.on()) {
            report(
                    order.on() ? ModelViolation.Kind.LOST : ModelViolation.Kind.CAME_BACK,
                    "zone " + zone + " is " + (order.on() ? "not " : "") + "evacuated at seq " + state.seq()
                            + "; the opposite was acknowledged by seq " + order.seq());
        }
    }

    private static boolean isOn(State state, String zone) {
        Mark mark = ControlState.findMark(state, MarkKind.EVACUATED, zone);
        return mark != null && mark.value().equals(ON);
    }

    /** True if a later order on the same zone is on top of that version. */
    private static boolean isNewer(State state, String zone, long version) {
        Mark mark = ControlState.findMark(state, MarkKind.EVACUATED, zone);
        return mark != null && mark.version() > version;
    }

    private static int content(State state) {
        // the epoch under which a state was committed may differ
        byte[] bytes =
                Codec.encode(new State(0, state.seq(), state.revision(), state.past(), state.marks(), state.config()));
        return Arrays.hashCode(bytes);
    }

    /** An operator sends an order on a zone: from now on either value is right. */
    void evacuationInvoked(String zone) {
        evacuations.remove(zone);
    }

    void evacuationAcknowledged(String zone, boolean on) {
        evacuations.put(zone, new Evacuation(on, newestSeq));
        long version = markVersions.getOrDefault(zone + (on ? ON : OFF), 0L);
        requireCopies(
                "zone " + zone + " " + on,
                state -> state.lineage() >= 0 && (isOn(state, zone) == on || isNewer(state, zone, version)));
    }

    /** True if the last order on that zone was acknowledged. */
    boolean acknowledged(String zone) {
        return evacuations.containsKey(zone);
    }

    void configAcknowledged(long revision) {
        requireCopies("revision " + revision, state -> holds(state, revision));
    }

    /** True if the order of that revision is part of the state. */
    static boolean holds(State state, long revision) {
        for (TakenOrder past : state.past()) {
            if (past.revision() == revision) {
                return true;
            }
        }
        return false;
    }

    private interface Holds {
        boolean test(State state);
    }

    /**
     * At least f+1 synced copies. A disk that held one and was lost while the order was under way is counted, as its loss is
     * one of the f that are allowed for.
     */
    private void requireCopies(String what, Holds holds) {
        int copies = 0;
        for (ModelNode node : world.nodes.values()) {
            boolean lostJustNow = world.nowMs - node.diskLostMs < UNDER_WAY_MS;
            boolean held = holds(node, node.disk, holds) || lostJustNow && holds(node, node.lostDisk, holds);
            copies += held ? 1 : 0;
        }
        if (copies < lost + 1) {
            report(ModelViolation.Kind.FEW_COPIES, what + " was acknowledged with " + copies + " durable copies");
        }
    }

    private boolean holds(ModelNode node, List<Message> disk, Holds holds) {
        return !disk.isEmpty() && holds.test(world.stateOnDisk(node, disk));
    }

    /** In the end the newest committed state holds all acknowledged marks. */
    void checkMarksAtEnd(State state) {
        evacuations.forEach((zone, order) -> {
            if (isOn(state, zone) != order.on()) {
                report(
                        ModelViolation.Kind.LOST,
                        "zone " + zone + " ends evacuated=" + !order.on() + ", acknowledged was the opposite");
            }
        });
    }
}
