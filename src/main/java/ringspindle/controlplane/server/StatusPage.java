package ringspindle.controlplane.server;

import jakarta.json.JsonArrayBuilder;
import jakarta.json.JsonObject;
import jakarta.json.JsonObjectBuilder;
import jakarta.json.spi.JsonProvider;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ringspindle.controlplane.ControlNode;
import ringspindle.controlplane.FleetQueries;
import ringspindle.controlplane.ServingState;
import ringspindle.controlplane.ShutdownHandover;
import ringspindle.controlplane.StorageNodes;
import ringspindle.membership.DataNodeFact;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.replication.MarkKind;
import ringspindle.shard.ShardAssignment;
import ringspindle.shard.ShardCondition;
import ringspindle.shard.ShardMember;

/** The operators' page of a control node's status. Tools parse it, so its member names and their order are fixed. */
public final class StatusPage {
    private static final JsonProvider JSON = JsonProvider.provider();

    private StatusPage() {}

    /** Renders the page from the current state. */
    public static JsonObject of(ControlNode node) {
        ServingState serving = node.serving();
        JsonObjectBuilder page = JSON.createObjectBuilder()
                .add("node", node.config().name())
                .add("quorate", serving.quorate())
                .add("founding", node.bootstrapping())
                .add("provenAgoMs", serving.quorumProofAgeMs())
                .add("awaited", node.missingPrerequisite().name());
        View view = node.replication().view();
        if (view != null) {
            page.add("view", view(view)).add("duties", duties(view));
        }
        addState(page, node.replication().committed(), serving);
        page.add("sessions", sessions(node.queries().sessions()))
                .add("holders", holders(node.queries().peerStates()))
                .add("nodes", dataNodes(node));
        addShards(page, node.storageNodes());
        return page.build();
    }

    private static JsonObjectBuilder view(View view) {
        return JSON.createObjectBuilder()
                .add("epoch", view.epoch())
                .add("voters", names(view.voters()))
                .add("chain", names(view.chain()));
    }

    private static JsonArrayBuilder names(List<NodeId> nodes) {
        JsonArrayBuilder array = JSON.createArrayBuilder();
        nodes.forEach(node -> array.add(node.toString()));
        return array;
    }

    private static JsonObjectBuilder duties(View view) {
        return JSON.createObjectBuilder()
                .add(
                        "leases",
                        JSON.createObjectBuilder()
                                .add("holder", view.head().toString())
                                .add("epoch", view.epoch()));
    }

    /** Without a proven majority the state of this node may be stale: then only its sequence number is shown. */
    private static void addState(JsonObjectBuilder page, State state, ServingState serving) {
        if (state == null) {
            return;
        }
        page.add("seq", state.seq());
        if (!serving.upToDate()) {
            return;
        }
        JsonArrayBuilder evacuated = JSON.createArrayBuilder();
        for (Mark mark : state.marks()) {
            if (MarkKind.EVACUATED.matches(mark) && mark.value().equals("on")) {
                evacuated.add(mark.key());
            }
        }
        page.add("revision", state.revision()).add("evacuated", evacuated);
    }

    private static JsonArrayBuilder sessions(List<FleetQueries.Session> sessions) {
        JsonArrayBuilder array = JSON.createArrayBuilder();
        for (FleetQueries.Session session : sessions) {
            Hello peer = session.hello();
            boolean control = peer.kind() == NodeKind.CONTROL;
            array.add(JSON.createObjectBuilder()
                    .add("name", peer.name())
                    .add("kind", control ? "control" : "data")
                    .add("node", peer.node().toString())
                    .add("zone", peer.zone())
                    .add("linked", session.linked())
                    .add("control", control ? new NodeId(peer.front()).toString() : "")
                    .add("ready", session.ready()));
        }
        return array;
    }

    /** Adds the shards of batch jobs; there are none without storage nodes. */
    private static void addShards(JsonObjectBuilder page, StorageNodes storageNodes) {
        Map<Integer, ShardCondition> conditions = storageNodes.conditions();
        if (conditions.isEmpty()) {
            return;
        }
        Map<Integer, ShardAssignment> assignments = storageNodes.assignments();
        JsonArrayBuilder array = JSON.createArrayBuilder();
        conditions.forEach((shard, condition) -> {
            JsonObjectBuilder row =
                    JSON.createObjectBuilder().add("shard", shard).add("condition", condition.name());
            ShardAssignment assignment = assignments.get(shard);
            if (assignment != null) {
                row.add("epoch", assignment.epoch())
                        .add("leader", assignment.leader().node().toString())
                        .add("members", replicas(assignment.members()))
                        .add("learners", replicas(assignment.learners()));
            }
            array.add(row);
        });
        page.add("shards", array);
    }

    private static JsonArrayBuilder replicas(List<ShardMember> replicas) {
        return names(replicas.stream().map(ShardMember::node).toList());
    }

    private static JsonArrayBuilder holders(List<ShutdownHandover.PeerState> holders) {
        JsonArrayBuilder array = JSON.createArrayBuilder();
        for (ShutdownHandover.PeerState holder : holders) {
            array.add(JSON.createObjectBuilder()
                    .add("node", holder.node().toString())
                    .add("epoch", holder.epoch())
                    .add("seq", holder.sequence())
                    .add("blank", holder.relearning()));
        }
        return array;
    }

    private static JsonArrayBuilder dataNodes(ControlNode node) {
        JsonArrayBuilder array = JSON.createArrayBuilder();
        for (Fact fact : node.fleet().read(store -> new ArrayList<>(store.all(FactKind.NODE)))) {
            DataNodeFact dataNode = DataNodeFact.of(fact.value());
            Hello hello = dataNode.hello();
            array.add(JSON.createObjectBuilder()
                    .add("name", hello.name())
                    .add("zone", hello.zone())
                    .add("frontend", new NodeId(hello.front()).toString())
                    .add("ready", dataNode.flags().has(NodeFlags.READY))
                    .add("leaving", dataNode.flags().has(NodeFlags.LEAVING))
                    .add("via", dataNode.via().toString()));
        }
        return array;
    }
}
