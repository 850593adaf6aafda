package ringspindle.controlplane;

import ringspindle.controlplane.fleet.FleetState;
import ringspindle.membership.FactValidator;
import ringspindle.protocol.Message.Digest;
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
        synchronized (fleet.lock) {
            fleet.facts().merge(news.items());
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
