package ringspindle.controlplane;

import java.io.IOException;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.protocol.Message;

/** Records that one state machine keeps across restarts. Thread safe after {@link #open}. */
interface RecordLog {
    /** Token of a snapshot that was asked for to start the log anew; nobody waits for it. */
    long COMPACTION = -1;

    /**
     * Records to be written and synced.
     *
     * @param token told once they are
     * @param snapshot true if the records take the place of all that was written before
     */
    record Write(long token, List<Message> records, boolean snapshot) {}

    /**
     * The records found, oldest first; called once.
     *
     * @throws IOException if the records cannot be read
     */
    List<Message> load() throws IOException;

    /**
     * From now on records are written; {@code stored} hears of each token that is synced. {@code compact} is called when the
     * log is long: it must {@link #write} a snapshot of what counts, with token {@link #COMPACTION}, in order with all other
     * records.
     */
    void open(LongConsumer stored, Runnable compact);

    /** Queues records to be written and synced, after those queued before. */
    void write(Write records);
}
