package ringspindle.protocol;

import java.util.List;

/**
 * What replicas of a shard's log say to each other, what a storage node says of itself, and its records on disk. An entry is
 * identified by its epoch and number: two replicas that hold the same one hold the same log up to it.
 */
public sealed interface ShardMessage extends Message {
    /**
     * An entry of a log.
     *
     * @param epoch of the leader that appended it
     * @param record a record as bytes
     */
    record LogEntry(long epoch, long seq, byte[] record) {}

    /**
     * The leader passes entries on, or asks without any whether it is followed still.
     *
     * @param store the disk that the replica is known to have; another one must not answer for it
     * @param round the number of this message, which rises over all that the leader sends
     * @param previousEpoch with {@code previousSeq}, the entry that these follow, 0 if there is none
     * @param committed up to which entry all is committed
     */
    record ShardAppend(
            int shard,
            long epoch,
            long store,
            long round,
            long previousEpoch,
            long previousSeq,
            long committed,
            List<LogEntry> entries)
            implements ShardMessage {}

    /**
     * Answer to {@link ShardAppend}, once all is on disk.
     *
     * @param epoch the highest epoch that the replica follows
     * @param round of the message that this answers; 0 if that was of an earlier epoch
     * @param matched false if the replica lacks the entry that those sent follow
     * @param seq up to which entry its log is the leader's; where it is not matched, from which on it is to be sent anew
     */
    record ShardAck(int shard, long epoch, long store, long round, boolean matched, long seq) implements ShardMessage {}

    /**
     * An entry on disk. It takes the place of those with its number or a higher one that were written before.
     *
     * @param committed up to which entry all was known to be committed
     */
    record ShardEntry(int shard, long epoch, long seq, long committed, byte[] record) implements ShardMessage {}

    /** The highest epoch that a replica follows, on disk; {@code committed} as in {@link ShardEntry}. */
    record ShardPromise(int shard, long epoch, long committed) implements ShardMessage {}

    /**
     * Which disk this is, and the how manieth process on it writes, on disk.
     *
     * @param store drawn when the disk was empty
     * @param boot counts starts, from 1
     */
    record StoreIdentity(long store, long boot) implements ShardMessage {}

    /**
     * What a leader says of another replica.
     *
     * @param standingCode the code of its {@link ReplicaStanding}
     */
    record ReplicaRow(int shard, long epoch, NodeId node, int standingCode) {
        /** How the replica is doing. */
        public ReplicaStanding standing() {
            return ReplicaStanding.of(standingCode);
        }
    }

    /**
     * What a storage node says of itself; the value of a fact.
     *
     * @param life the incarnation of the process, as in its greeting
     * @param replicas of the shards that it leads, those of which there is something to say
     */
    record StorageReport(long life, long store, long boot, List<ReplicaRow> replicas) implements ShardMessage {}
}
