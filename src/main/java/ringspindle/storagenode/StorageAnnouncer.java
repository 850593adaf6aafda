package ringspindle.storagenode;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.protocol.Message.News;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ShardMessage.ReplicaRow;
import ringspindle.protocol.ShardMessage.StorageReport;
import ringspindle.protocol.ShardMessage.StoreIdentity;
import ringspindle.shard.StorageReportFact;
import ringspindle.transport.Mesh;

/**
 * Tells control nodes which disk this node has, and how the replicas are doing of the shards that it leads: at once when that
 * changes, and now and then again. Thread safe.
 */
final class StorageAnnouncer {
    private static final int PERIOD_MS = 1000;

    private final NodeId me;
    private final long life;
    private final StoreIdentity identity;
    private final Mesh mesh;
    private final Set<NodeId> controlNodes = new TreeSet<>();
    private StorageReport report;
    private long version = 1;
    private long announcedMs = Long.MIN_VALUE / 2;

    StorageAnnouncer(NodeId me, long life, StoreIdentity identity, Mesh mesh) {
        this.me = me;
        this.life = life;
        this.identity = identity;
        this.mesh = mesh;
        report = new StorageReport(life, identity.store(), identity.boot(), List.of());
    }

    /** A control node is connected. */
    synchronized void introduce(NodeId controlNode) {
        controlNodes.add(controlNode);
        mesh.send(controlNode, news());
    }

    /** Says how replicas are doing, if that is new or due. */
    synchronized void announce(List<ReplicaRow> standings, long nowMs) {
        boolean changed = !standings.equals(report.replicas());
        if (changed) {
            report = new StorageReport(life, identity.store(), identity.boot(), List.copyOf(standings));
            version++;
        }
        if (changed || nowMs - announcedMs >= PERIOD_MS) {
            announcedMs = nowMs;
            News news = news();
            controlNodes.removeIf(node -> !mesh.connected(node));
            controlNodes.forEach(node -> mesh.send(node, news));
        }
    }

    private News news() {
        return new News(false, List.of(new StorageReportFact(me, report).write(version)));
    }
}
