package ringspindle.controlplane;

import ringspindle.protocol.Message.View;

/** The singleton roles of the head of the view that are carried out by orders: roll-outs and experiments. Called by the tick alone. */
final class HeadDuties {
    private final RolloutTask rollouts;
    private final ExperimentTask experiments;

    HeadDuties(RolloutTask rollouts, ExperimentTask experiments) {
        this.rollouts = rollouts;
        this.experiments = experiments;
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
    }
}
