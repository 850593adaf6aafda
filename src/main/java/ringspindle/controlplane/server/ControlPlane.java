package ringspindle.controlplane.server;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.controlplane.ControlNode;
import ringspindle.controlplane.DiskStorage;
import ringspindle.controlplane.EngineReportClient;
import ringspindle.controlplane.PlatformClient;
import ringspindle.logging.LogField;
import ringspindle.metrics.MetricsEndpoint;
import ringspindle.protocol.NodeId;
import ringspindle.transport.NodeEnvironment;
import ringspindle.transport.PeriodicTask;
import ringspindle.transport.Threads;

/** The control plane's program. */
public final class ControlPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** How long a node that leaves stays at least, so that all hear of it, and at most. */
    private static final int LEAVE_LEAST_MS = 700;

    private static final int LEAVE_MOST_MS = 5000;
    private static final int LEAVE_STEP_MS = 100;
    private static final String DEFAULT_FOLDER = "/tmp/ringspindle";
    private static final int REQUEST_HEAD_MAX = 16384;
    private static final int IDLE_MS = 20_000;
    private static final int ACCEPT_QUEUE = 256;

    private ControlPlane() {}

    /**
     * Runs until told to end, then hands over. What is still open is closed by the end of the process: answers are written and
     * acknowledged state is on disk by then.
     *
     * @param settings the settings in force, which may change while running
     * @param term counted down when the node is to end
     * @throws Exception if stored data cannot be read or ports cannot be opened
     */
    public static void run(Settings settings, CountDownLatch term) throws Exception {
        run(settings, term, DiskStorage::new);
    }

    /**
     * The same with storage of another kind.
     *
     * @param storage makes it from the folder of the settings and an executor
     */
    public static void run(Settings settings, CountDownLatch term, BiFunction<Path, Executor, DiskStorage> storage)
            throws Exception {
        NodeConfig config = settings.now();
        Threads threads = Threads.start("cp", 16, 6);
        QueuedThreadPool pool = threads.pool();
        Scheduler scheduler = threads.scheduler();
        EngineReportClient reports = new EngineReportClient(pool, scheduler);
        Path folder = Path.of(config.dataPath().isEmpty() ? DEFAULT_FOLDER : config.dataPath());
        DiskStorage disk = storage.apply(folder, pool);
        ControlNode node = new ControlNode(
                config,
                NodeEnvironment.real(threads, config.bindIp()),
                disk,
                reports,
                new PlatformClient(pool, scheduler));
        reports.listener(node.engines()::recordReport);
        Server server = server(config, pool, scheduler);
        server.setHandler(new ControlApiHandler(node));
        config.metrics().ifPresent(address -> MetricsEndpoint.add(server, address, ControlPlaneMetrics.of(node)));
        settings.listen(node::applySettings);
        node.start();
        PeriodicTask.start(node::tick, scheduler, ControlNode.TICK_MS);
        server.start();
        LOG.atInfo().with(LogField.NODE, config.name()).log("control plane serves");
        term.await();
        node.leave();
        LOG.atInfo().with(LogField.NODE, config.name()).log("control plane shuts down");
        awaitHandover(node);
        LOG.atInfo().with(LogField.NODE, config.name()).log("control plane ends");
    }

    private static Server server(NodeConfig config, QueuedThreadPool pool, Scheduler scheduler) {
        Server server = new Server(pool, scheduler, new ArrayByteBufferPool(0, 4096, 65536, 64, 2 << 20, 2 << 20));
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(REQUEST_HEAD_MAX);
        NodeId control = config.control().orElseThrow();
        for (NodeId address : new TreeSet<>(List.of(control, config.registry().orElse(control)))) {
            ServerConnector connector =
                    new ServerConnector(server, pool, scheduler, null, 0, 1, new HttpConnectionFactory(http));
            connector.setHost(address.ip());
            connector.setPort(address.port());
            connector.setIdleTimeout(IDLE_MS);
            connector.setAcceptQueueSize(ACCEPT_QUEUE);
            server.addConnector(connector);
        }
        return server;
    }

    /** Peers and data nodes hear of it with the next heartbeats, pending calls get their answers, and others take over. */
    private static void awaitHandover(ControlNode node) throws InterruptedException {
        for (int ms = 0; ms < LEAVE_MOST_MS && (ms < LEAVE_LEAST_MS || !node.handedOver()); ms += LEAVE_STEP_MS) {
            Thread.sleep(LEAVE_STEP_MS);
        }
    }
}
