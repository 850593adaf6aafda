package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.replication.CallKind;
import ringspindle.replication.Rollout;

/** Has the head of the view drive roll-outs. Called by the tick alone. */
final class RolloutTask {
    private static final int PERIOD_TICKS = 3;

    private final NodeId me;
    private final FleetState fleet;
    private final EngineRegistry engines;
    private final RolloutController controller;

    RolloutTask(
            NodeId me,
            FleetState fleet,
            EngineRegistry engines,
            ReplicationDriver replication,
            EngineReportClient reports) {
        this.me = me;
        this.fleet = fleet;
        this.engines = engines;
        controller = new RolloutController(
                reports,
                (service, order, completed) ->
                        replication.call(CallKind.ROLLOUT, 0, service, order, (outcome, body) -> completed.run()));
    }

    /**
     * Orders the next step of a roll-out, if there is one.
     *
     * @param vouches this node is up to date and has heard engines long enough to judge them
     */
    void tick(View view, boolean vouches, long ticks, long nowMs) {
        boolean leads = view != null && vouches && view.head().equals(me);
        if (!leads || ticks % PERIOD_TICKS != 0 || controller.orderPending()) {
            return;
        }
        List<Rollout> rollouts = fleet.read(store -> store.all(FactKind.ROLLOUT).stream()
                .map(fact -> Rollout.read(new String(fact.value(), UTF_8)))
                .toList());
        controller.tick(rollouts, engines::members, engines::address, view.epoch(), ticks, nowMs);
    }
}
