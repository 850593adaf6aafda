package ringspindle.controlplane;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Fact;
import ringspindle.replication.ReplicatedState;

/** What a control node keeps over its ends. */
interface Storage {
    /** Records found, oldest first; {@code storage.load()} once. */
    List<Message> load() throws IOException;

    /**
     * From now on records are written; {@code stored} hears of each token that is synced. {@code compact} is called when the
     * log is long: it must {@link #take} an image of what counts, with token {@link GroupCommitWriter#COMPACTION}, in order with
     * all other records.
     */
    void open(LongConsumer stored, Runnable compact);

    /** Write these. */
    void take(ReplicatedState.Out.Store s);

    /** Engines as a hint for the time right after a start. */
    List<Fact> engines();

    /** Keeps that hint. */
    void keep(Collection<Fact> engines);
}
