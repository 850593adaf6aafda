package ringspindle.storagenode;

import ringspindle.batch.JobSubmission;
import ringspindle.config.FleetConfig;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.JobCallKind;
import ringspindle.protocol.JobStatus;

/** A call about a job, read before any state is touched. */
sealed interface JobCallReading {
    /** A call that is answered at once, as nothing can be done. */
    record Refused(JobStatus status, String text) implements JobCallReading {}

    /**
     * A call that the leader of its shard may carry out.
     *
     * @param submission null unless the call submits a job
     * @param limits of the route that a submission came in by
     */
    record Proper(JobCall call, JobSubmission.Proper submission, FleetConfig.BatchLimits limits)
            implements JobCallReading {}

    /**
     * Reads a call.
     *
     * @param configuration in force here, null while none is known
     * @param shards how many shards there are
     */
    static JobCallReading of(JobCall call, FleetConfig configuration, int shards) {
        if (call.shard() < 0 || call.shard() >= shards) {
            return new Refused(JobStatus.INVALID, "");
        }
        FleetConfig.Route route = configuration == null ? null : configuration.route(call.route());
        if (call.kind() != JobCallKind.SUBMIT) {
            return new Proper(call, null, FleetConfig.BatchLimits.NONE);
        }
        if (route == null) {
            // what may wait is not known here
            return new Refused(JobStatus.NOT_LEADER, "");
        }
        JobSubmission submission = JobSubmission.read(call, route.batch().maxWaitS());
        if (submission instanceof JobSubmission.Refused refused) {
            return new Refused(JobStatus.INVALID, refused.error().text());
        }
        return new Proper(call, (JobSubmission.Proper) submission, route.batch());
    }
}
