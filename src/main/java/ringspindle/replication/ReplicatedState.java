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
 * The replicated control state of one node: a deterministic state machine without clock, socket, disk or randomness of
 * its own. Its owner passes it one input at a time and carries out the outputs in order. Times are milliseconds of the
 * node's monotonic clock.
 */
public interface ReplicatedState {

    /** An output for the owner to carry out. */
    sealed interface Output {
        /** Send the message to the node. */
        record Send(NodeId to, Message message) implements Output {}

        /**
         * Write and sync the records in order, then call {@link ReplicatedState#recordsSynced}.
         *
         * @param token identifies the write
         * @param snapshot true if the records replace everything written before
         */
        record Store(long token, List<Message> records, boolean snapshot) implements Output {}

        /** The answer to a call received by this node. */
        record Answer(long call, Outcome outcome, byte[] body) implements Output {}

        /** The committed state changed. */
        record Committed(State state) implements Output {}

        /** A view took effect on this node. */
        record ViewChanged(View view) implements Output {}
    }

    // ---- inputs

    /** Processes a message. */
    List<Output> receive(NodeId from, Message message, long nowMs);

    /** Called for a new connection to the peer; what was sent on an older one may be lost. */
    List<Output> connectionOpened(NodeId peer, long nowMs);

    /** Processes a tick. */
    List<Output> tick(long nowMs, Connectivity connectivity);

    /** Submits a call received by this node; the answer follows as {@link Output.Answer} with its id. */
    List<Output> call(Call call, long nowMs);

    /** Called when the records of the token are synced. */
    List<Output> recordsSynced(long token, long nowMs);

    // ---- queries

    /** The newest known view, or null. */
    View view();

    /** The committed state, or null while unknown. */
    State committed();

    /** Whether this node learns of everything committed. */
    boolean upToDate(long nowMs);

    /** Whether a system that starts is waiting for more voters before it accepts commands; {@code status} shows it. */
    boolean awaitingVoters(long nowMs);

    /** Whether this node is still relearning its promises; it can neither vote nor hold state. */
    boolean relearning();

    /** The durable state, as records for a snapshot on disk. */
    List<Message> durableRecords();

    /**
     * Creates the state machine of a node. {@code ReplicatedState.create(self, seeds, true, disk.load(), 7, 5)} is the
     * first start of a system that must tolerate the loss of two disks at once, so that five nodes have to vote before
     * anything is acknowledged.
     *
     * @param self this node
     * @param seeds nodes known from the settings
     * @param bootstrap true for the first start of a system; ignored if records were found
     * @param records the records found on disk, in the order in which they were written
     * @param randomSeed seeds the backoff jitter and the confirmation ids; differs from start to start
     * @param minVoters the number of voters to retain at least: 2f + 1 to tolerate the loss of f disks
     */
    static ReplicatedState create(
            NodeId self, List<NodeId> seeds, boolean bootstrap, List<Message> records, long randomSeed, int minVoters) {
        return new ChainReplicatedState(self, seeds, bootstrap, records, randomSeed, minVoters);
    }
}
