package ringspindle.proxy;

import java.util.function.BiConsumer;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.JobStatus;

/** Forwards calls about batch jobs to the storage nodes that store them. Thread safe. */
public interface JobGateway {
    /** Gateway of a node without storage nodes: rejects every call. */
    JobGateway NONE = new JobGateway() {
        @Override
        public boolean isAvailable() {
            return false;
        }

        @Override
        public void call(JobCall call, long timeoutMs, BiConsumer<JobStatus, byte[]> reply) {
            reply.accept(JobStatus.NOT_LEADER, new byte[0]);
        }
    };

    /** Returns true once the leader of any shard is known. */
    boolean isAvailable();

    /**
     * Forwards a call to the leader of its shard, and again to the next leader if the leader changes. The reply is
     * passed on once, on a thread of the pool: {@link JobStatus#NOT_LEADER} if the call cannot have been carried out,
     * {@link JobStatus#UNCLEAR} if that is unknown.
     *
     * @param call the call; its id is ignored
     * @param timeoutMs how long to wait for the reply
     */
    void call(JobCall call, long timeoutMs, BiConsumer<JobStatus, byte[]> reply);
}
