package ringspindle.replication;

import java.util.List;
import ringspindle.api.Outcome;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * The replicated control state of one node: a state machine without clock, socket, disk or chance. Its owner tells it what
 * happens, one input at a time, and carries out the outputs in their order. Times are milliseconds of the node's steady clock.
 */
public interface ReplicatedState {

    /** What the owner is to do. */
    sealed interface Output {
        /** Send the message to the node. */
        record Send(NodeId to, Message message) implements Output {}

        /**
         * Write and sync the records in order, then call {@link ReplicatedState#recordsSynced}.
         *
         * @param snapshot true if the records take the place of all that was written before
         */
        record Store(long token, List<Message> records, boolean snapshot) implements Output {}

        /** The answer to a call that came in at this node. */
        record Answer(long call, Outcome outcome, byte[] body) implements Output {}

        /** The committed state moved. */
        record Committed(State state) implements Output {}

        /** The node works under this view from now on. */
        record ViewChanged(View view) implements Output {}
    }

    // ---- inputs

    /** A message came. */
    List<Output> receive(NodeId from, Message message, long nowMs);

    /** A new connection to that node stands; what was sent on an older one may be lost. */
    List<Output> connectionOpened(NodeId peer, long nowMs);

    /** Time went on. */
    List<Output> tick(long nowMs, Connectivity connectivity);

    /** A call came in at this node; the answer comes as {@link Output.Answer} with its id. */
    List<Output> call(Call call, long nowMs);

    /** The records of that token are synced. */
    List<Output> recordsSynced(long token, long nowMs);

    // ---- what it holds

    /** The newest view, null if unknown. */
    View view();

    /** The committed state, null while unknown. */
    State committed();

    /** True while this node hears of all that is committed. */
    boolean upToDate(long nowMs);

    /** True while a first start waits for more voters before it takes an order; {@code status} shows it. */
    boolean awaitingVoters(long nowMs);

    /** True while this node has not relearned what was promised; it can neither vote nor hold state. */
    boolean relearning();

    /** All that must not be forgotten, for a snapshot on disk. */
    List<Message> durableRecords();

    /**
     * {@code ReplicatedState.create(self, seeds, true, disk.load(), 7, 5)}: the first start of a system that must bear the loss
     * of two disks at once, so that five have to vote before anything is acknowledged.
     *
     * @param self this node
     * @param seeds nodes that are known from the settings
     * @param bootstrap true for the first start of a system; does not count if records were found
     * @param records the records found on disk, in the order in which they were written
     * @param randomSeed seeds the pauses between attempts and the numbers of confirmations; differs from start to start
     * @param minVoters as many voters as remain at least: 2f + 1 for the loss of f disks
     */
    static ReplicatedState create(
            NodeId self, List<NodeId> seeds, boolean bootstrap, List<Message> records, long randomSeed, int minVoters) {
        return new ChainReplicatedState(self, seeds, bootstrap, records, randomSeed, minVoters);
    }
}
