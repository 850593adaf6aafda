package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import ringspindle.controlplane.fleet.FleetFacts;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.View;
import ringspindle.rollout.RolloutPlanner;

/**
 * Handles engine registrations and answers queries about engines from the facts of the fleet. Thread safe and
 * stateless.
 */
public final class EngineRegistry {
    private final FleetState fleet;
    private final ServingState serving;
    private final ReplicationDriver replication;

    EngineRegistry(FleetState fleet, ServingState serving, ReplicationDriver replication) {
        this.fleet = fleet;
        this.serving = serving;
        this.replication = replication;
    }

    /**
     * Records an engine's heartbeat; it is disseminated only if it contains a change.
     *
     * @param sequence the heartbeat number, which increases over the lifetime of the engine process
     * @return false if this node has no quorum and cannot accept heartbeats
     */
    public boolean heartbeat(String id, Engine engine, long sequence) {
        synchronized (fleet.lock) {
            if (!serving.quorate()) {
                return false;
            }
            fleet.facts().onHeartbeat(id, engine, sequence);
            return true;
        }
    }

    /** Records how many requests an engine is still running or queueing, for operators who monitor a rollout. */
    public void recordReport(String id, int active, int queued) {
        View view = replication.view();
        if (view == null) {
            return;
        }
        String text = active + queued == 0 ? "free to swap" : "still runs " + (active + queued);
        synchronized (fleet.lock) {
            FleetFacts facts = fleet.facts();
            facts.merge(List.of(new Fact(
                    FactKind.TURN,
                    id,
                    view.epoch(),
                    facts.nextVersion(FactKind.TURN, id, view.epoch()),
                    text.getBytes(UTF_8))));
        }
    }

    /** Returns the engines of a service, for rollouts. */
    public List<RolloutPlanner.Member> members(String service) {
        synchronized (fleet.lock) {
            return fleet.facts().rolloutMembers(service);
        }
    }

    /** Returns the address of an engine, null if it is unknown. */
    String address(String id) {
        Fact fact = fleet.read(store -> store.get(FactKind.ENGINE, id));
        return fact == null ? null : ((Engine) Codec.decode(fact.value())).address();
    }
}
