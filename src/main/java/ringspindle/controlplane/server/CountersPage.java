package ringspindle.controlplane.server;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import ringspindle.controlplane.ControlNode;
import ringspindle.counter.CounterStatus;

/** The operators' page of one control node's counters. */
final class CountersPage {
    private static final JsonProvider JSON = JsonProvider.provider();

    private CountersPage() {}

    /** Renders the counters as this node knows them, also while it is isolated. */
    static JsonObject of(ControlNode node) {
        CounterStatus status = node.counters().status();
        JsonObjectBuilder totals = JSON.createObjectBuilder();
        node.counters().totals().forEach(totals::add);
        JsonArrayBuilder peers = JSON.createArrayBuilder();
        for (CounterStatus.Peer peer : status.peers()) {
            peers.add(JSON.createObjectBuilder()
                    .add("node", peer.node().toString())
                    .add("inTouch", peer.inTouch())
                    .add("lacks", peer.lacks()));
        }
        return JSON.createObjectBuilder()
                .add("node", node.config().name())
                .add("joined", status.joined())
                .add("isolated", status.isolated())
                .add("instances", status.instances())
                .add("unconfirmed", status.unconfirmed())
                .add("totals", totals)
                .add("peers", peers)
                .build();
    }
}
