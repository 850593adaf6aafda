package ringspindle.controlplane;

import ringspindle.protocol.Message.View;

/** The singleton roles of the head of the view that are carried out by orders: roll-outs, experiments and the
 * placement of shards. Called by the tick alone. */
final class HeadDuties {
    private final RolloutTask rollouts;
    private final ExperimentTask experiments;
    private final ShardTask shards;

    HeadDuties(RolloutTask rollouts, ExperimentTask experiments, ShardTask shards) {
        this.rollouts = rollouts;
        this.experiments = experiments;
        this.shards = shards;
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
    }
}
