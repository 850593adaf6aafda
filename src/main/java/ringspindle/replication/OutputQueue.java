package ringspindle.replication;

import it.unimi.dsi.fastutil.longs.Long2ObjectMap;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import ringspindle.consensus.Effects;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;

/** The outputs of the current input (messages, writes, answers), and the actions to run once a write is synced. */
final class OutputQueue implements Effects {
    private final NodeId self;
    private final Long2ObjectMap<Runnable> afterSync = new Long2ObjectOpenHashMap<>();
    private final ArrayDeque<Message> toSelf = new ArrayDeque<>();
    private List<ReplicatedState.Output> outputs = new ArrayList<>();
    private long nextToken;

    OutputQueue(NodeId self) {
        this.self = self;
    }

    @Override
    public void send(NodeId to, Message message) {
        if (to.equals(self)) {
            toSelf.add(message);
        } else {
            outputs.add(new ReplicatedState.Output.Send(to, message));
        }
    }

    @Override
    public void append(List<Message> records, Runnable whenSynced) {
        store(records, false, whenSynced);
    }

    /** Writes and syncs the records in place of everything written before. */
    void replaceAll(List<Message> records, Runnable whenSynced) {
        store(records, true, whenSynced);
    }

    private void store(List<Message> records, boolean snapshot, Runnable whenSynced) {
        long token = nextToken++;
        afterSync.put(token, whenSynced);
        outputs.add(new ReplicatedState.Output.Store(token, records, snapshot));
    }

    /** Called when the records of the token are synced; unknown tokens are ignored. */
    void synced(long token) {
        Runnable whenSynced = afterSync.remove(token);
        if (whenSynced != null) {
            whenSynced.run();
        }
    }

    void emit(ReplicatedState.Output output) {
        outputs.add(output);
    }

    /** The next message of this node to itself, or null. */
    Message pollSelf() {
        return toSelf.poll();
    }

    /** Returns the outputs since the last call. */
    List<ReplicatedState.Output> drain() {
        List<ReplicatedState.Output> taken = outputs;
        outputs = new ArrayList<>();
        return taken;
    }
}
