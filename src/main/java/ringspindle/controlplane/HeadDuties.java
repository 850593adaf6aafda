package ringspindle.controlplane;

import ringspindle.protocol.Message.View;

/** The singleton roles of the head of the view that are carried out by orders: roll-outs, experiments, the
 * placement of shards and reports on usage. Called by the tick alone. */
final class HeadDuties {
    private final RolloutTask rollouts;
    private final ExperimentTask experiments;
    private final ShardTask shards;
    private final MeteringTask metering;
    private final VersionRolloutTask versions;

    HeadDuties(
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
     * Does what is due.
     *
     * @param view the newest view, null if unknown
     * @param quorate this node is up to date
     * @param hearsEngines it has heard engines for long enough to judge them
     */
    void tick(View view, boolean quorate, boolean hearsEngines, long ticks, long nowMs) {
        rollouts.tick(view, quorate && hearsEngines, ticks, nowMs);
        experiments.tick(view, quorate, ticks, nowMs);
        shards.tick(view, quorate, ticks, nowMs);
        metering.tick(view, quorate, ticks, nowMs);
        versions.tick(view, quorate, ticks, nowMs);
    }
}
