package ringspindle.controlplane;

import java.io.IOException;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.protocol.Message;

/** A durable log of the records of one state machine. Thread safe after {@link #open}. */
interface RecordLog {
    /** Token of a compaction snapshot, which replaces the log and is not acknowledged. */
    long COMPACTION = -1;

    /**
     * Records to write and sync.
     *
     * @param token reported once the records are synced
     * @param snapshot true if the records replace everything written before
     */
    record Write(long token, List<Message> records, boolean snapshot) {}

    /**
     * Returns the stored records, oldest first. Called once.
     *
     * @throws IOException if the records cannot be read
     */
    List<Message> load() throws IOException;

    /**
     * Starts writing records.
     *
     * @param stored called with each token whose records are synced
     * @param compact called when the log is too long; must {@link #write} a snapshot of the current state with token
     *     {@link #COMPACTION}, in order with all other records
     */
    void open(LongConsumer stored, Runnable compact);

    /** Queues records to be written and synced after the records queued before. */
    void write(Write records);
}
