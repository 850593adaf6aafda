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
        record Send(NodeId to, Message message) implements Out {}

        /** Write and sync in order, then call {@link ReplicatedState#stored}. */
        record Store(long token, List<Message> records, boolean snapshot) implements Out {}

        /** The answer to a call that came in at this node. */
        record Answer(long call, Outcome outcome, byte[] body) implements Out {}

        /** The committed state moved. */
        record Committed(State state) implements Out {}

        /** The node works under this view from now on. */
        record Viewed(View view) implements Out {}
    }

    /** A message came. */
    List<Out> receive(NodeId from, Message message, long nowMs);

    /** A new wire to that node stands; what was sent on an older one may be lost. */
    List<Out> opened(NodeId peer, long nowMs);

    /** Time went on. */
    List<Out> tick(long nowMs, Connectivity connectivity);

    /** A call came in at this node; the answer comes as {@link Out.Answer} with its id. */
    List<Out> call(Call call, long nowMs);

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
    boolean relearning();

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
