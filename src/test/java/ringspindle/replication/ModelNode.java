package ringspindle.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** A simulated node: one process, one disk. */
final class ModelNode {
    /** Number of the node in schedules. */
    final int slot;

    final NodeId id;
    /** Null while the process is down. */
    ReplicatedState chain;
    /** What is synced; survives everything but a wipe. */
    List<Message> disk = new ArrayList<>();
    /** What the disk held before it was lost last, and when that was. */
    List<Message> lostDisk = List.of();

    long diskLostMs;
    /** Handed to the disk, not yet synced, in order. */
    final ArrayDeque<ReplicatedState.Output.Store> writes = new ArrayDeque<>();
    /** Counts process starts. */
    int life;
    /** Rises with everything that changes the process or its disk. */
    long version;

    boolean frozen;
    boolean leaving;
    /** The machine is gone for good, and its disk with it. */
    boolean removed;
    /** When it last came up, or thawed. */
    long reachableSinceMs;
    /** When it last went down, or froze. */
    long unreachableSinceMs;
    /** Sequence number of the newest committed state that this life told. */
    long committedSeq = -1;

    ModelNode(int slot, NodeId id) {
        this.slot = slot;
        this.id = id;
    }

    boolean up() {
        return chain != null;
    }

    boolean running() {
        return chain != null && !frozen;
    }

    /** Makes the first write durable and returns it. */
    ReplicatedState.Output.Store syncFirst() {
        ReplicatedState.Output.Store store = writes.poll();
        if (store.snapshot()) {
            disk = new ArrayList<>(store.records());
        } else {
            disk.addAll(store.records());
        }
        return store;
    }

    /** Loses power: some writes are whole, of the next one the first records survive; an image is atomic. */
    void tearWrites(int whole, int records) {
        for (int i = 0; i < whole && !writes.isEmpty(); i++) {
            syncFirst();
        }
        ReplicatedState.Output.Store torn = writes.poll();
        if (torn != null && !torn.snapshot()) {
            disk.addAll(
                    torn.records().subList(0, Math.min(records, torn.records().size())));
        }
        writes.clear();
    }

    @Override
    public String toString() {
        return "n" + slot;
    }
}
