package ringspindle.storagenode;

import java.util.List;
import ringspindle.protocol.Message;

/** Writes records of shards to a disk, in the order in which they come. */
interface RecordWriter {
    /**
     * A record that is to be written.
     *
     * @param token comes back once it is on disk
     */
    record Write(int shard, Message record, long token) {}

    /** Told of what is on disk. */
    interface Listener {
        /**
         * A group of records lasts from now on.
         *
         * @param segment the file that they are in
         */
        void written(List<Write> group, long segment);

        /** The number of the first file of which something is still needed. */
        long firstNeededSegment();
    }

    /** Queues a record; never waits for the disk. */
    void add(Write write);

    /** Bytes on disk, as of the last group. */
    long bytes();
}
