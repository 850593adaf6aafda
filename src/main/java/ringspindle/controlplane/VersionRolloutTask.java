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
 * Ends version rollouts before their deadline while this node is the head of the view. New versions receive no requests
 * because their health is not evaluated yet, so every rollout is reverted. Called only by the tick.
 */
final class VersionRolloutTask {
    /** Fraction of the duration set by the operator after which a rollout is ended. */
    private static final double END_FRACTION = 0.6;

    private static final int PERIOD_TICKS = 5;
    private static final int MS_PER_S = 1000;

    private final NodeId self;
    private final FleetState fleet;
    private final ReplicationDriver replication;
    private final Map<String, Long> firstSeenMs = new HashMap<>();

    VersionRolloutTask(NodeId self, FleetState fleet, ReplicationDriver replication) {
        this.self = self;
        this.fleet = fleet;
        this.replication = replication;
    }

    /** Submits the end of the rollouts that are due. */
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
        firstSeenMs.keySet().retainAll(services);
        // every control node records when it first saw a rollout, so that a new head continues its timer
        active.forEach(rollout -> firstSeenMs.putIfAbsent(rollout.service(), nowMs));
        boolean isHead = view != null && quorate && view.head().equals(self);
        for (VersionRollout rollout : active) {
            long ageMs = nowMs - firstSeenMs.get(rollout.service());
            if (isHead && ageMs > rollout.durationS() * MS_PER_S * END_FRACTION) {
                byte[] command = VersionRollout.endCommand(Status.REVERTED, view.epoch());
                replication.call(CallKind.VERSION, 0, rollout.service(), command, (outcome, reply) -> {});
            }
        }
    }
}
