package ringspindle.shard;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.protocol.ShardMessage.StorageReport;

/** Joins what a control node knows of storage nodes: who has a session, and what each has reported of its disk. Without state. */
public final class StorageNodeTable {
    /** A process of a node: the number alone is not unique in the fleet. */
    private record Process(NodeId node, long life) {}

    private StorageNodeTable() {}

    /**
     * Storage nodes that are in touch and have said which disk they have, by address.
     *
     * @param inTouch nodes of all kinds that are in touch
     * @param reports of any process and any disk, older ones too
     * @param retiring names of nodes that are to be emptied
     */
    public static Map<NodeId, StorageNodeStatus> join(
            Collection<Hello> inTouch, List<StorageReportFact> reports, Set<String> retiring) {
        Map<Process, StorageReport> byProcess = new HashMap<>();
        for (StorageReportFact fact : reports) {
            byProcess.put(new Process(fact.node(), fact.report().life()), fact.report());
        }
        Map<NodeId, StorageNodeStatus> nodes = new TreeMap<>();
        for (Hello hello : inTouch) {
            StorageReport report = byProcess.get(new Process(hello.node(), hello.life()));
            if (hello.kind() == NodeKind.STORAGE && report != null) {
                nodes.put(hello.node(), status(hello, report, retiring.contains(hello.name())));
            }
        }
        return nodes;
    }

    private static StorageNodeStatus status(Hello hello, StorageReport report, boolean retires) {
        return new StorageNodeStatus(
                hello.node(), hello.zone(), report.store(), report.boot(), retires, report.replicas());
    }
}
