package ringspindle.storagenode;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import ringspindle.config.NodeConfig;
import ringspindle.dataplane.DataNode;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.protocol.BatchMessage.ItemCancel;
import ringspindle.protocol.BatchMessage.ItemEnd;
import ringspindle.protocol.BatchMessage.ItemRun;
import ringspindle.protocol.ItemOutcome;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.protocol.ShardMessage.StoreIdentity;
import ringspindle.proxy.EngineMaintenance;
import ringspindle.transport.NodeEnvironment;

/** A real storage node without sockets, threads and engines: its disk syncs late, and each item completes at once. */
public final class HollowStorageNode {
    private static final int PLACES = 100;

    /** A timer of whoever runs it. */
    public interface Later {
        /** Runs the task after a delay in milliseconds. */
        void at(double inMs, Runnable task);
    }

    private final DataNode node;
    private final List<NodeId> leadersDropped = new ArrayList<>();
    private ShardHost host;

    /**
     * Starts a storage node with an empty disk.
     *
     * @param syncMs how long the next write takes until it is on disk
     */
    public HollowStorageNode(NodeConfig config, NodeEnvironment environment, Later later, IntSupplier syncMs)
            throws Exception {
        StoredState stored =
                new StoredState(new StoreIdentity(environment.random().getAsLong(), 1), new ArrayList<>());
        StorageProxy proxy = new StorageProxy(EngineMaintenance.NONE);
        LoadBalancer loadBalancer = LoadBalancer.create(config);
        NodeId me = DataNode.identity(config, NodeKind.STORAGE);
        node = new DataNode(config, NodeKind.STORAGE, proxy, loadBalancer, environment, mesh -> {
            StorageAnnouncer announcer = new StorageAnnouncer(me, environment.incarnation(), stored.identity(), mesh);
            host = new ShardHost(me, config, stored, mesh, environment, proxy, announcer);
            BiConsumer<NodeId, ItemEnd> ended = (leader, end) -> {
                if (leader.equals(me)) {
                    host.ended(me, end);
                } else {
                    mesh.send(leader, end);
                }
            };
            host.connect(new LateDisk(later, syncMs), new InstantItems(ended));
            return host;
        });
        node.start();
    }

    /** Milliseconds between two ticks. */
    public static int tickMs() {
        return DataNode.TICK_MS;
    }

    /** Does the periodic work. */
    public void tick() {
        node.tick();
    }

    /** True while it leads a shard. */
    public boolean leadsAny() {
        return host.leadsAny();
    }

    /** Leaders whose items this node was told to end, as their connection was gone. */
    List<NodeId> leadersDropped() {
        return leadersDropped;
    }

    /** Writes that last a while later, in the order in which they came. */
    private final class LateDisk implements RecordWriter {
        private final Later later;
        private final IntSupplier syncMs;
        private final List<Write> unsynced = new ArrayList<>();

        LateDisk(Later later, IntSupplier syncMs) {
            this.later = later;
            this.syncMs = syncMs;
        }

        @Override
        public void add(Write write) {
            unsynced.add(write);
            if (unsynced.size() == 1) {
                later.at(syncMs.getAsInt(), this::sync);
            }
        }

        private void sync() {
            List<Write> group = List.copyOf(unsynced);
            unsynced.clear();
            host.written(group, 1);
        }

        @Override
        public long bytes() {
            return 0;
        }
    }

    /** Items that are done as soon as they are begun. */
    private final class InstantItems implements ItemRunner {
        private final BiConsumer<NodeId, ItemEnd> ended;

        InstantItems(BiConsumer<NodeId, ItemEnd> ended) {
            this.ended = ended;
        }

        @Override
        public void run(NodeId leader, ItemRun run) {
            ended.accept(leader, new ItemEnd(run.id(), ItemOutcome.COMPLETED.code(), run.body()));
        }

        @Override
        public void cancel(NodeId leader, ItemCancel cancel) {
            // nothing runs for longer than a call
        }

        @Override
        public void closed(NodeId leader) {
            leadersDropped.add(leader);
        }

        @Override
        public int capacity() {
            return PLACES;
        }
    }
}
