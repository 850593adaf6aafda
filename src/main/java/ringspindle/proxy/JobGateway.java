package ringspindle.proxy;

import java.util.function.BiConsumer;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.JobStatus;

/** The way to the storage nodes that keep batch jobs. Thread safe. */
public interface JobGateway {
    /** Nobody keeps batch jobs. */
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

    /** True once it is known who keeps batch jobs. */
    boolean isAvailable();

    /**
     * Passes a call to whoever leads its shard, again to the next one if that changes. The reply comes once, on a thread of the
     * pool: {@link JobStatus#NOT_LEADER} if nothing can have been done, {@link JobStatus#UNCLEAR} if nobody can tell.
     *
     * @param call with any id
     * @param timeoutMs for how long an answer is waited for
     */
    void call(JobCall call, long timeoutMs, BiConsumer<JobStatus, byte[]> reply);
}
