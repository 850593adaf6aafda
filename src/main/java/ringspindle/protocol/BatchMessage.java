package ringspindle.protocol;

import java.util.List;

/**
 * What nodes say to each other about batch jobs, and the records that a shard's log keeps of them. Texts of items, header
 * blocks and bodies are bytes as they came; a header block is lines of {@code Name: value}, each ended by a line feed.
 */
public sealed interface BatchMessage extends Message {
    /**
     * A client's call about a job, passed on by a data node to the leader of the job's shard.
     *
     * @param id chosen by the data node, and unique there
     * @param kindCode the code of its {@link JobCallKind}
     * @param position the first position of the results that are asked for
     * @param waitMs how long the reply may be held until there is a result
     * @param job the id of the job
     * @param item the id of an item, empty where the call is about the job
     * @param route the name of the route that the job came in by
     */
    record JobCall(
            long id,
            int kindCode,
            int shard,
            long position,
            int waitMs,
            String job,
            String item,
            String route,
            String host,
            String tenant,
            byte[] body)
            implements BatchMessage {
        /** What is asked for. */
        public JobCallKind kind() {
            return JobCallKind.of(kindCode);
        }
    }

    /**
     * Reply to {@link JobCall}.
     *
     * @param statusCode the code of its {@link JobStatus}
     */
    record JobReply(long id, int statusCode, byte[] body) implements BatchMessage {
        /** What became of the call. */
        public JobStatus status() {
            return JobStatus.of(statusCode);
        }
    }

    /**
     * The leader of a shard has a storage node run an item.
     *
     * @param id of this run, unique among those of the leader's process
     * @param tenant the tenant on whose behalf it runs, empty for none
     */
    record ItemRun(long id, String item, String host, String path, String tenant, byte[] headers, byte[] body)
            implements BatchMessage {}

    /**
     * End of an {@link ItemRun}.
     *
     * @param outcomeCode the code of its {@link ItemOutcome}
     * @param text the data of all events, of an item that was completed
     */
    record ItemEnd(long id, int outcomeCode, byte[] text) implements BatchMessage {
        /** How the run ended. */
        public ItemOutcome outcome() {
            return ItemOutcome.of(outcomeCode);
        }
    }

    /** The leader does not want the run any more. */
    record ItemCancel(long id) implements BatchMessage {}

    /**
     * An item as it was accepted.
     *
     * @param tokens prompt tokens and the most output tokens, summed
     */
    record JobItemData(String instance, String path, long tokens, byte[] headers, byte[] body) {}

    /**
     * A job that was accepted whole.
     *
     * @param maxWaitS seconds after which an item may be given up
     */
    record JobAccepted(String job, String route, String host, String tenant, int maxWaitS, List<JobItemData> items)
            implements BatchMessage {}

    /**
     * The result of an item. Its position in the job's results is the order of these records.
     *
     * @param stateCode 0 completed, 1 given up
     */
    record JobListed(String job, int item, int stateCode, byte[] text) implements BatchMessage {}

    /** An engine has run an item, and failed by its own word. */
    record JobFailed(String job, int item) implements BatchMessage {}

    /**
     * A job was ended by its client, or is forgotten.
     *
     * @param kindCode the code of its {@link JobMarkKind}
     */
    record JobMark(String job, int kindCode) implements BatchMessage {}
}
