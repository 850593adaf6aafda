package ringspindle.replication;

import java.util.List;
import ringspindle.api.Outcome;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** The replicated control state of one node: a state machine without clock, socket, disk or chance. */
public interface ReplicatedState {

    /** What the owner is to do. */
    sealed interface Out {
        /** Send the message to the node. */
        record Send(NodeId to, Message m) implements Out {}

        /** Write and sync in order, then call {@link ReplicatedState#stored}. */
        record Store(long token, List<Message> records, boolean image) implements Out {}

        /** The answer to a call that came in at this node. */
        record Answer(long call, Outcome outcome, byte[] body) implements Out {}

        /** The committed state moved. */
        record Committed(State state) implements Out {}

        /** The node works under this view from now on. */
        record Viewed(View view) implements Out {}
    }

    /** Kinds of calls and ops. */
    int PUT = 1;

    int PATCH = 2;
    int EVACUATE = 3;
    int RESTORE = 4;
    int DRAIN = 5;
    int GONE = 6;
    int READ = 7;
    int ROLLOUT = 8;
    int RULES = 9;

    /** Kinds of marks. */
    int MARK_EVACUATED = 1;

    int MARK_LEAVING = 2;
    int MARK_ROLLOUT = 3;
    int MARK_RULES = 4;
    /** What a READ asks for beside the configuration. */
    String READ_RULES = "rules";

    /** A message came. */
    List<Out> on(NodeId from, Message m, long nowMs);

    /** A new wire to that node stands; what was sent on an older one may be lost. */
    List<Out> opened(NodeId peer, long nowMs);

    /** Time went on. */
    List<Out> beat(long nowMs, Connectivity connectivity);

    /** A call came in at this node; the answer comes as {@link Out.Answer} with its id. */
    List<Out> call(Call c, long nowMs);

    /** The records of that token are synced. */
    List<Out> stored(long token, long nowMs);

    /** The newest view, null if unknown. */
    View view();

    /** The committed state, null while unknown. */
    State committed();

    /** True while this node hears of all that is committed. */
    boolean current(long nowMs);

    /** True while a first start waits for more voters before it takes an order; {@code status} shows it. */
    boolean founding(long nowMs);

    /** True while this node has not relearned what was promised; it can neither vote nor hold state. */
    boolean blank();

    /** All that must not be forgotten, for an image of the disk. */
    List<Message> durable();

    /**
     * {@code ReplicatedState.create(me, seeds, true, disk.load(), 7, 5)}: the first start of a system that must bear the loss of
     * two disks at once, so that five have to vote before anything is acknowledged; with records on disk,
     * {@code bootstrap} does not count.
     */
    static ReplicatedState create(
            NodeId me, List<NodeId> seeds, boolean bootstrap, List<Message> found, long luck, int leastVoters) {
        return new ChainReplicatedState(me, seeds, bootstrap, found, luck, leastVoters);
    }
}
