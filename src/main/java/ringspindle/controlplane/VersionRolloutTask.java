package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;
import ringspindle.replication.CallKind;
import ringspindle.replication.VersionRollout;
import ringspindle.replication.VersionRollout.Status;

/**
 * Has the head of the view end roll-outs of versions before their term. A new version gets no requests, as nothing here judges yet
 * whether it is sound: so each roll-out is reverted. Called by the tick alone.
 */
final class VersionRolloutTask {
    /** A roll-out is ended after this part of the time that its operator gave it. */
    private static final double END_PART = 0.6;

    private static final int PERIOD_TICKS = 5;
    private static final int MS_PER_S = 1000;

    private final NodeId me;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final Map<String, Long> seenMs = new HashMap<>();

    VersionRolloutTask(NodeId me, FleetState fleet, ReplicationDriver replication) {
        this.me = me;
        this.fleet = fleet;
        this.replication = replication;
    }

    /** Orders the end of the roll-outs whose time has come. */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        if (ticks % PERIOD_TICKS != 0) {
            return;
        }
        List<VersionRollout> active = fleet.read(store -> store.all(FactKind.VERSION).stream()
                .map(fact -> VersionRollout.read(new String(fact.value(), UTF_8)))
                .filter(rollout -> rollout.status() == Status.ACTIVE)
                .toList());
        Set<String> services = new HashSet<>();
        active.forEach(rollout -> services.add(rollout.service()));
        seenMs.keySet().retainAll(services);
        // every control node notes when it saw one, so that a new head goes on with its time
        active.forEach(rollout -> seenMs.putIfAbsent(rollout.service(), nowMs));
        boolean leads = view != null && quorate && view.head().equals(me);
        for (VersionRollout rollout : active) {
            long ageMs = nowMs - seenMs.get(rollout.service());
            if (leads && ageMs > rollout.durationS() * MS_PER_S * END_PART) {
                byte[] order = VersionRollout.endCommand(Status.REVERTED, view.epoch());
                replication.call(CallKind.VERSION, 0, rollout.service(), order, (outcome, body) -> {});
            }
        }
    }
}
