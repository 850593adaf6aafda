package ringspindle.replication;

import java.util.List;
import ringspindle.consensus.Connectivity;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** Passes everything on to a real machine; subclasses tamper with what goes in or comes out. */
class ModelTamper implements ReplicatedState {
    protected final ReplicatedState inner;

    ModelTamper(ReplicatedState inner) {
        this.inner = inner;
    }

    /** Where the real machine stands. */
    static String standing(ReplicatedState chain) {
        if (chain instanceof ModelTamper tamper) {
            return standing(tamper.inner);
        }
        return chain instanceof ChainReplicatedState machine ? machine.describe() : "down";
    }

    @Override
    public List<Output> receive(NodeId from, Message m, long nowMs) {
        return inner.receive(from, m, nowMs);
    }

    @Override
    public List<Output> connectionOpened(NodeId peer, long nowMs) {
        return inner.connectionOpened(peer, nowMs);
    }

    @Override
    public List<Output> tick(long nowMs, Connectivity connectivity) {
        return inner.tick(nowMs, connectivity);
    }

    @Override
    public List<Output> call(Call c, long nowMs) {
        return inner.call(c, nowMs);
    }

    @Override
    public List<Output> recordsSynced(long token, long nowMs) {
        return inner.recordsSynced(token, nowMs);
    }

    @Override
    public View view() {
        return inner.view();
    }

    @Override
    public boolean relearning() {
        return inner.relearning();
    }

    @Override
    public State committed() {
        return inner.committed();
    }

    @Override
    public boolean upToDate(long nowMs) {
        return inner.upToDate(nowMs);
    }

    @Override
    public boolean awaitingVoters(long nowMs) {
        return inner.awaitingVoters(nowMs);
    }

    @Override
    public List<Message> durableRecords() {
        return inner.durableRecords();
    }
}
