package ringspindle.controlplane;

import java.util.List;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.membership.FactValidator;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;

/** Handles the messages by which nodes spread facts. Thread safe; without state of its own. */
final class FactHandler {
    private final FleetState fleet;
    private final ServingState serving;

    FactHandler(FleetState fleet, ServingState serving) {
        this.fleet = fleet;
        this.serving = serving;
    }

    /** Facts came; those that cannot be read are refused before the first is taken. */
    void received(NodeId from, News news) {
        FactValidator.check(news.items());
        // what is committed a control node knows by itself, and not before it has merged it
        List<Fact> told = news.items().stream()
                .filter(fact -> fact.kind() != FactKind.COMMITTED)
                .toList();
        synchronized (fleet.lock) {
            fleet.facts().merge(told);
            fleet.facts().store().markKnown(from, news.items());
        }
    }

    /** A peer says what it knows: it is sent the facts that differ. */
    void received(NodeId from, Digest digest) {
        synchronized (fleet.lock) {
            fleet.dissemination().repair(from, digest, serving.quorate());
        }
    }
}
