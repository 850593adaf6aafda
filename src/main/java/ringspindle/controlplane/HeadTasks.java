package ringspindle.controlplane;

import ringspindle.protocol.Message.View;

/**
 * Runs the tasks that only the head of the view performs and that submit commands: rollouts, experiments, shard
 * placement and usage reports. Called only by the tick.
 */
final class HeadTasks {
    private final RolloutTask rollouts;
    private final ExperimentTask experiments;
    private final ShardTask shards;
    private final MeteringTask metering;
    private final VersionRolloutTask versions;

    HeadTasks(
            RolloutTask rollouts,
            ExperimentTask experiments,
            ShardTask shards,
            MeteringTask metering,
            VersionRolloutTask versions) {
        this.rollouts = rollouts;
        this.experiments = experiments;
        this.shards = shards;
        this.metering = metering;
        this.versions = versions;
    }

    /**
     * Runs the tasks that are due.
     *
     * @param view the latest view, null if unknown
     * @param quorate true if this node has a quorum and is up to date
     * @param engineHeartbeatsReceived true if this node has received engine heartbeats long enough to evaluate engines
     */
    void tick(View view, boolean quorate, boolean engineHeartbeatsReceived, long ticks, long nowMs) {
        rollouts.tick(view, quorate && engineHeartbeatsReceived, ticks, nowMs);
        experiments.tick(view, quorate, ticks, nowMs);
        shards.tick(view, quorate, ticks, nowMs);
        metering.tick(view, quorate, ticks, nowMs);
        versions.tick(view, quorate, ticks, nowMs);
    }
}
