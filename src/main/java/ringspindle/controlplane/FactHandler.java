package ringspindle.controlplane;

import java.util.List;
import ringspindle.controlplane.fleet.FleetState;
import ringspindle.membership.FactValidator;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Digest;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;

/** Handles the messages that disseminate facts. Thread safe and stateless. */
final class FactHandler {
    private final FleetState fleet;
    private final ServingState serving;

    FactHandler(FleetState fleet, ServingState serving) {
        this.fleet = fleet;
        this.serving = serving;
    }

    /** Merges received facts. All are validated before the first is merged. */
    void received(NodeId from, News news) {
        FactValidator.check(news.items());
        // a control node derives COMMITTED from its own replicated state, once it has merged that state
        List<Fact> accepted = news.items().stream()
                .filter(fact -> fact.kind() != FactKind.COMMITTED)
                .toList();
        synchronized (fleet.lock) {
            fleet.facts().merge(accepted);
            fleet.facts().store().markKnown(from, news.items());
        }
    }

    /** Compares the digest of a peer with the local facts and sends the peer those that differ. */
    void received(NodeId from, Digest digest) {
        synchronized (fleet.lock) {
            fleet.dissemination().repair(from, digest, serving.quorate());
        }
    }
}
