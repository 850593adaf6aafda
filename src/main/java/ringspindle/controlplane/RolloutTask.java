package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.replication.CallKind;
import ringspindle.replication.Rollout;

/** Drives rollouts while this node is the head of the view. Called only by the tick. */
final class RolloutTask {
    private static final int PERIOD_TICKS = 3;

    private final NodeId self;
    private final FleetState fleet;
    private final EngineRegistry engines;
    private final RolloutController controller;

    RolloutTask(
            NodeId self,
            FleetState fleet,
            EngineRegistry engines,
            ReplicationDriver replication,
            EngineReportClient reports) {
        this.self = self;
        this.fleet = fleet;
        this.engines = engines;
        controller = new RolloutController(
                reports,
                (service, command, completed) ->
                        replication.call(CallKind.ROLLOUT, 0, service, command, (outcome, reply) -> completed.run()));
    }

    /**
     * Submits the next step of a rollout, if there is one.
     *
     * @param canDecide true if this node is up to date and has received engine heartbeats long enough to evaluate
     *     engines
     */
    void tick(View view, boolean canDecide, long ticks, long nowMs) {
        boolean isHead = view != null && canDecide && view.head().equals(self);
        if (!isHead || ticks % PERIOD_TICKS != 0 || controller.commandPending()) {
            return;
        }
        List<Rollout> rollouts = fleet.read(store -> store.all(FactKind.ROLLOUT).stream()
                .map(fact -> Rollout.read(new String(fact.value(), UTF_8)))
                .toList());
        controller.tick(rollouts, engines::members, engines::address, view.epoch(), ticks, nowMs);
    }
}
