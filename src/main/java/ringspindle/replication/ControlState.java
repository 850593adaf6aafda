package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.Op;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.TakenOrder;

/**
 * The content of the control state, and the state transition of each committed operation. Pure: the same on every
 * member.
 */
final class ControlState {
    /** Values of a {@link MarkKind#EVACUATED} mark. */
    static final String ON = "on";

    static final String OFF = "off";
    /** Values of a {@link MarkKind#LEAVING} mark. */
    static final String DRAINING = "draining";

    static final String GONE = "gone";
    /** The key of the mark that holds the serving rules. */
    static final String RULES_KEY = "";

    /** The maximum number of marks of leaving engines; beyond it the oldest are dropped. */
    private static final int MAX_LEAVING_ENGINES = 400;

    private static final byte[] NO_CONFIGURATION = {};

    private ControlState() {}

    /** The state of a node that holds nothing. */
    static State empty() {
        return new State(Position.NONE.lineage(), Position.NONE.seq(), 0, List.of(), List.of(), NO_CONFIGURATION);
    }

    /** The state at the start of a system's first view. */
    static State initial() {
        return new State(1, 0, 0, List.of(), List.of(), NO_CONFIGURATION);
    }

    /** Returns the same content as a state of the view. */
    static State inView(State state, long epoch) {
        return state.lineage() == epoch
                ? state
                : new State(epoch, state.seq(), state.revision(), state.past(), state.marks(), state.config());
    }

    /** Returns the mark with the kind and key, or null. */
    static Mark findMark(State state, MarkKind kind, String key) {
        for (Mark mark : state.marks()) {
            if (kind.matches(mark) && mark.key().equals(key)) {
                return mark;
            }
        }
        return null;
    }

    /** Returns the state after an operation. An operation of an unknown kind only advances the sequence number. */
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

    /** Returns the marks with one set; if too many engines are leaving, their oldest marks are dropped. */
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
