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

/** Engines as they register here and as facts of the fleet. Thread safe; without state of its own. */
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
     * Takes an engine's heartbeat, which is spread only if it says something new.
     *
     * @param sequence the number of the heartbeat, which rises while the engine lives
     * @return false if this node cannot vouch for it now
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

    /** Notes how many requests an engine still runs or queues, for operators who follow a roll-out. */
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

    /** The engines of a service, for roll-outs. */
    public List<RolloutPlanner.Member> members(String service) {
        synchronized (fleet.lock) {
            return fleet.facts().rolloutMembers(service);
        }
    }

    /** An engine's address, null if it is not known. */
    String address(String id) {
        Fact fact = fleet.read(store -> store.get(FactKind.ENGINE, id));
        return fact == null ? null : ((Engine) Codec.decode(fact.value())).address();
    }
}
