package ringspindle.replication;

import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** One process and its disk in a {@link SimulatedCluster}. */
final class SimulatedNode {
    final NodeId id;
    /** Null while the process is down. */
    ChainReplicatedState machine;
    /** What is synced. */
    List<Message> disk = new ArrayList<>();

    long diskFreeMs;
    long startedMs;
    long frozenUntilMs;
    long stalledUntilMs;
    boolean leaving;
    /** Counts the ends of processes: what was meant for an earlier one is dropped. */
    int life;

    long committedSeq = -1;

    SimulatedNode(NodeId id) {
        this.id = id;
    }

    boolean up() {
        return machine != null;
    }

    /** Ends the process; the disk stays. */
    void end() {
        machine = null;
        life++;
    }
}
