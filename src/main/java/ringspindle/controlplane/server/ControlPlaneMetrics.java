package ringspindle.controlplane.server;

import java.util.Map;
import java.util.TreeMap;
import ringspindle.controlplane.ControlNode;
import ringspindle.controlplane.CounterDriver;
import ringspindle.controlplane.FleetQueries;
import ringspindle.controlplane.ReplicationDriver;
import ringspindle.metrics.Metrics;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeKind;

/** Metrics of a control node; docs/ON-CALL.md relates each to the symptoms that it explains. */
final class ControlPlaneMetrics {
    private static final double MS_PER_S = 1000;

    private ControlPlaneMetrics() {}

    static Metrics of(ControlNode node) {
        ReplicationDriver replication = node.replication();
        return addCounters(new Metrics(), node.counters())
                .gauge(
                        "ringspindle_quorate",
                        "1 while this node is proven to hear of all that is committed, else 0.",
                        () -> node.serving().quorate() ? 1 : 0)
                .gauge(
                        "ringspindle_proven_age_seconds",
                        "Seconds since a majority was last proven, below 0 for never.",
                        () -> node.serving().quorumProofAgeMs() / MS_PER_S)
                .gauge("ringspindle_view_epoch", "Epoch of the newest view, 0 without one.", () -> replication
                        .status()
                        .epoch())
                .gauges(
                        "ringspindle_view_members",
                        "Members of the newest view, by part.",
                        "part",
                        () -> members(replication.view()))
                .gauge(
                        "ringspindle_committed_sequence",
                        "Number of the last committed operation, below 0 while unknown.",
                        () -> replication.status().sequence())
                .gauge(
                        "ringspindle_configuration_revision",
                        "Revision of the committed configuration, 0 without one.",
                        () -> revision(replication.committed()))
                .gauges("ringspindle_sessions", "Sessions in touch, by kind of peer.", "kind", () -> sessions(node))
                .gauge(
                        "ringspindle_data_nodes_ready",
                        "Data nodes that take requests, as known here.",
                        () -> node.queries().readyDataNodes())
                .counters(
                        "ringspindle_directory_answers",
                        "Answers to clients that asked where to go, by how near the named data nodes are.",
                        "scope",
                        () -> node.queries().resolutionCounts())
                .gauge("ringspindle_engines", "Engines that are registered.", () -> node.fleet()
                        .read(store -> store.all(FactKind.ENGINE).size()));
    }

    private static Metrics addCounters(Metrics metrics, CounterDriver counters) {
        return metrics.gauge(
                        "ringspindle_counters_isolated",
                        "1 while too few peers are in touch for the copies of an increment, else 0.",
                        () -> counters.status().isolated() ? 1 : 0)
                .gauge(
                        "ringspindle_counters_not_everywhere",
                        "Increments that the peer which lacks most has not said to hold.",
                        () -> counters.status().notEverywhere())
                .gauge(
                        "ringspindle_counters_instances",
                        "Ids of increments that are remembered.",
                        () -> counters.status().instances())
                .gauge("ringspindle_counters_unconfirmed", "Increments that wait for copies.", () -> counters.status()
                        .unconfirmed());
    }

    private static Map<String, Integer> members(View view) {
        return view == null
                ? Map.of()
                : Map.of("voters", view.voters().size(), "chain", view.chain().size());
    }

    private static long revision(State committed) {
        return committed == null ? 0 : committed.revision();
    }

    private static Map<String, Integer> sessions(ControlNode node) {
        Map<String, Integer> linkedByKind = new TreeMap<>(Map.of("control", 0, "data", 0));
        for (FleetQueries.Session session : node.queries().sessions()) {
            if (session.linked()) {
                String kind = session.hello().kind() == NodeKind.CONTROL ? "control" : "data";
                linkedByKind.merge(kind, 1, Integer::sum);
            }
        }
        return linkedByKind;
    }
}
