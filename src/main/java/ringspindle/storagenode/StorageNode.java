package ringspindle.storagenode;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.dataplane.DataNode;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.logging.LogField;
import ringspindle.metrics.MetricsEndpoint;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.proxy.ItemClient;
import ringspindle.storage.SegmentedLog;
import ringspindle.storage.StorageFolder;
import ringspindle.transport.Mesh;
import ringspindle.transport.NodeEnvironment;
import ringspindle.transport.PeriodicTask;
import ringspindle.transport.Threads;

/** The program of a storage node. */
public final class StorageNode {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final String DEFAULT_FOLDER = "/tmp/ringspindle-storage";
    private static final String SUBFOLDER = "jobs";

    /** How long a node that leaves waits for others to lead its shards, at least and at most. */
    private static final int LEAVE_LEAST_MS = 500;

    private static final int LEAVE_MOST_MS = 4000;
    private static final int LEAVE_STEP_MS = 50;

    private StorageNode() {}

    /**
     * Runs until told to end, then lets others lead its shards. What was acknowledged is on disk by then.
     *
     * @param settings the settings in force, which may change while running
     * @param terminated counted down when the node is to end
     * @throws Exception if stored data cannot be read or ports cannot be opened
     */
    public static void run(Settings settings, CountDownLatch terminated) throws Exception {
        NodeConfig config = settings.now();
        Threads threads = Threads.start("sn", 20, 8);
        QueuedThreadPool pool = threads.pool();
        Scheduler scheduler = threads.scheduler();
        NodeEnvironment environment = NodeEnvironment.real(threads, config.bindIp());
        Path folder = Path.of(config.dataPath().isEmpty() ? DEFAULT_FOLDER : config.dataPath());
        SegmentedLog log = new SegmentedLog(StorageFolder.of(folder.resolve(SUBFOLDER)));
        StoredState stored = StoredState.load(log, environment.random());
        LoadBalancer loadBalancer = LoadBalancer.create(config);
        ItemClient items = ItemClient.start(loadBalancer, pool, scheduler, environment.clock());
        items.setReservedShare(config.batch().reservedShare());
        StorageProxy proxy = new StorageProxy(items);
        AtomicReference<ShardHost> hosted = new AtomicReference<>();
        DataNode node = new DataNode(config, NodeKind.STORAGE, proxy, loadBalancer, environment, mesh -> {
            hosted.set(host(config, stored, log, mesh, environment, items, proxy));
            return hosted.get();
        });
        ShardHost host = hosted.get();
        settings.listen(loadBalancer::updateSettings);
        settings.listen(node::settings);
        settings.listen(host::settings);
        settings.listen(changed -> items.setReservedShare(changed.batch().reservedShare()));
        node.start();
        startMetrics(config, threads, host);
        PeriodicTask.start(node::tick, scheduler, DataNode.TICK_MS);
        LOG.atInfo()
                .with(LogField.NODE, config.name())
                .log(
                        "storage node serves, start %s on its disk",
                        stored.identity().boot());
        terminated.await();
        proxy.leave();
        node.leave();
        awaitHandover(host);
        LOG.atInfo().with(LogField.NODE, config.name()).log("storage node ends");
    }

    private static void startMetrics(NodeConfig config, Threads threads, ShardHost host) throws Exception {
        if (config.metrics().isEmpty()) {
            return;
        }
        Server server = new Server(threads.pool(), threads.scheduler(), null);
        MetricsEndpoint.add(server, config.metrics().get(), StorageNodeMetrics.of(host));
        server.start();
    }

    private static ShardHost host(
            NodeConfig config,
            StoredState stored,
            SegmentedLog log,
            Mesh mesh,
            NodeEnvironment environment,
            ItemClient items,
            StorageProxy proxy) {
        NodeId me = DataNode.identity(config, NodeKind.STORAGE);
        StorageAnnouncer announcer = new StorageAnnouncer(me, environment.incarnation(), stored.identity(), mesh);
        ShardHost host = new ShardHost(me, config, stored, mesh, environment, proxy, announcer);
        ItemExecutor executor = new ItemExecutor(items, proxy, (leader, end) -> {
            if (leader.equals(me)) {
                host.ended(me, end);
            } else {
                mesh.send(leader, end);
            }
        });
        StorageWriter writer = new StorageWriter(log, host::head, host);
        host.connect(writer, executor);
        startWriting(writer);
        return host;
    }

    private static void startWriting(StorageWriter writer) {
        Thread thread = new Thread(writer, "storage-writer");
        thread.setDaemon(true);
        thread.start();
    }

    private static void awaitHandover(ShardHost host) throws InterruptedException {
        for (int ms = 0; ms < LEAVE_MOST_MS && (ms < LEAVE_LEAST_MS || host.leadsAny()); ms += LEAVE_STEP_MS) {
            Thread.sleep(LEAVE_STEP_MS);
        }
    }
}
