package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.TakenOrder;

/** What the control state holds, and how a committed operation changes it. Pure: the same on every member. */
final class ControlState {
    /** Values of a {@link MarkKind#EVACUATED} mark. */
    static final String ON = "on";

    static final String OFF = "off";
    /** Values of a {@link MarkKind#LEAVING} mark. */
    static final String DRAINING = "draining";

    static final String GONE = "gone";
    /** Key of the mark that holds the serving rules. */
    static final String RULES_KEY = "";

    /** So many engines that leave are remembered. */
    private static final int MAX_LEAVING_ENGINES = 400;

    private static final byte[] NO_CONFIGURATION = {};

    private ControlState() {}

    /** What a node holds that has nothing. */
    static State empty() {
        return new State(Position.NONE.lineage(), Position.NONE.seq(), 0, List.of(), List.of(), NO_CONFIGURATION);
    }

    /** What the first view of a system begins with. */
    static State initial() {
        return new State(1, 0, 0, List.of(), List.of(), NO_CONFIGURATION);
    }

    /** The same content, as a state of that view. */
    static State inView(State state, long epoch) {
        return state.lineage() == epoch
                ? state
                : new State(epoch, state.seq(), state.revision(), state.past(), state.marks(), state.config());
    }

    /** The mark of that kind and key, null if there is none. */
    static Mark findMark(State state, MarkKind kind, String key) {
        for (Mark mark : state.marks()) {
            if (kind.matches(mark) && mark.key().equals(key)) {
                return mark;
            }
        }
        return null;
    }

    /** The state after an operation. One of a kind that this program does not know counts, and changes nothing else. */
    static State apply(State state, Op op) {
        return switch (CallKind.of(op.kind())) {
            case PUT, PATCH -> applyConfiguration(state, op);
            case EVACUATE -> applyMark(state, MarkKind.EVACUATED, op.arg(), ON);
            case RESTORE -> applyMark(state, MarkKind.EVACUATED, op.arg(), OFF);
            case DRAIN -> applyMark(state, MarkKind.LEAVING, op.arg(), DRAINING);
            case GONE -> applyMark(state, MarkKind.LEAVING, op.arg(), GONE);
            case ROLLOUT -> applyMark(state, MarkKind.ROLLOUT, op.arg(), new String(op.body(), UTF_8));
            case RULES -> applyRules(state, op);
            case EXPERIMENT -> applyMark(state, MarkKind.EXPERIMENT, op.arg(), new String(op.body(), UTF_8));
            case SHARD -> applyMark(state, MarkKind.SHARD, op.arg(), new String(op.body(), UTF_8));
            case RETIRE -> applyMark(state, MarkKind.RETIREMENT, op.arg(), ON);
            case METER -> applyMark(state, MarkKind.METERING, MeteredWindow.KEY, new String(op.body(), UTF_8));
            case VERSION -> applyMark(state, MarkKind.VERSION, op.arg(), new String(op.body(), UTF_8));
            case READ, UNKNOWN -> advance(state, state.past(), state.marks());
        };
    }

    private static State advance(State state, List<TakenOrder> past, List<Mark> marks) {
        return new State(state.lineage(), state.seq() + 1, state.revision(), past, marks, state.config());
    }

    private static State applyConfiguration(State state, Op op) {
        List<TakenOrder> past = CommandHistory.append(state.past(), op.revision(), op.digest());
        return new State(state.lineage(), state.seq() + 1, op.revision(), past, state.marks(), op.body());
    }

    private static State applyRules(State state, Op op) {
        State marked = applyMark(state, MarkKind.RULES, RULES_KEY, new String(op.body(), UTF_8));
        List<TakenOrder> past = CommandHistory.append(state.past(), CommandHistory.NO_REVISION, op.digest());
        return new State(marked.lineage(), marked.seq(), marked.revision(), past, marked.marks(), marked.config());
    }

    private static State applyMark(State state, MarkKind kind, String key, String value) {
        Mark mark = new Mark(kind.code(), key, state.seq() + 1, value);
        return advance(state, state.past(), replaceMark(state.marks(), mark));
    }

    /** The marks with one set; where too many engines leave, the oldest of these marks are dropped. */
    private static List<Mark> replaceMark(List<Mark> marks, Mark set) {
        List<Mark> kept = new ArrayList<>(marks.size() + 1);
        int leaving = 0;
        for (Mark mark : marks) {
            if (mark.kind() != set.kind() || !mark.key().equals(set.key())) {
                kept.add(mark);
                leaving += MarkKind.LEAVING.matches(mark) ? 1 : 0;
            }
        }
        kept.add(set);
        for (int i = 0; leaving > MAX_LEAVING_ENGINES && i < kept.size(); ) {
            if (MarkKind.LEAVING.matches(kept.get(i))) {
                kept.remove(i);
                leaving--;
            } else {
                i++;
            }
        }
        return kept;
    }
}
