package ringspindle.controlplane;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Fact;
import ringspindle.replication.ReplicatedState;

/** What a control node keeps across restarts. Thread safe after {@link #open}. */
interface Storage {
    /**
     * The records found, oldest first; called once.
     *
     * @throws IOException if the records cannot be read
     */
    List<Message> load() throws IOException;

    /**
     * From now on records are written; {@code stored} hears of each token that is synced. {@code compact} is called when the
     * log is long: it must {@link #write} a snapshot of what counts, with token {@link GroupCommitWriter#COMPACTION}, in order with
     * all other records.
     */
    void open(LongConsumer stored, Runnable compact);

    /** Queues records to be written and synced, after those queued before. */
    void write(ReplicatedState.Out.Store records);

    /** The engines last cached, a hint for the time right after a start; empty if there is none. */
    List<Fact> cachedEngines();

    /** Caches the engines as they are now; never waits for the disk. */
    void cacheEngines(Collection<Fact> engines);
}
