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

/** Runs a control node: starts the node and its HTTP server, and hands over on shutdown. */
public final class ControlPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final int MAX_THREADS = 16;
    private static final int MIN_THREADS = 6;
    /** A leaving node stays up at least this long, so that all peers learn that it leaves. */
    private static final int MIN_HANDOVER_MS = 700;

    private static final int MAX_HANDOVER_MS = 5000;
    private static final int HANDOVER_POLL_MS = 100;
    private static final String DEFAULT_DATA_DIRECTORY = "/tmp/ringspindle";
    private static final int MAX_REQUEST_HEADER_BYTES = 16384;
    private static final int IDLE_TIMEOUT_MS = 20_000;
    private static final int ACCEPT_QUEUE_SIZE = 256;
    private static final int BUFFER_STEP_BYTES = 4096;
    private static final int MAX_BUFFER_BYTES = 65536;
    private static final int MAX_BUFFERS_PER_SIZE = 64;
    private static final int MAX_HEAP_BUFFER_BYTES = 2 << 20;
    private static final int MAX_DIRECT_BUFFER_BYTES = 2 << 20;
    /** The connectors accept connections on their selector threads. */
    private static final int ACCEPTORS = 0;

    private static final int SELECTORS = 1;

    private ControlPlane() {}

    /**
     * Runs until the latch is released, then hands over. Sockets and files that are still open are closed when the
     * process exits: by then, responses have been written and acknowledged state is on disk.
     *
     * @param settings the settings in force, which may change while running
     * @param term released when the node is to shut down
     * @throws Exception if stored data cannot be read or ports cannot be opened
     */
    public static void run(Settings settings, CountDownLatch term) throws Exception {
        run(settings, term, DiskStorage::new);
    }

    /**
     * Runs with another storage implementation.
     *
     * @param storage creates the storage from the data directory and an executor
     */
    public static void run(Settings settings, CountDownLatch term, BiFunction<Path, Executor, DiskStorage> storage)
            throws Exception {
        NodeConfig config = settings.now();
        Threads threads = Threads.start("cp", MAX_THREADS, MIN_THREADS);
        QueuedThreadPool pool = threads.pool();
        Scheduler scheduler = threads.scheduler();
        EngineReportClient reports = new EngineReportClient(pool, scheduler);
        Path directory = Path.of(config.dataPath().isEmpty() ? DEFAULT_DATA_DIRECTORY : config.dataPath());
        DiskStorage disk = storage.apply(directory, pool);
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
        LOG.atInfo().with(LogField.NODE, config.name()).log("control plane started");
        term.await();
        node.leave();
        LOG.atInfo().with(LogField.NODE, config.name()).log("control plane shutting down");
        awaitHandover(node);
        LOG.atInfo().with(LogField.NODE, config.name()).log("control plane stopped");
    }

    private static Server server(NodeConfig config, QueuedThreadPool pool, Scheduler scheduler) {
        Server server = new Server(
                pool,
                scheduler,
                new ArrayByteBufferPool(
                        0,
                        BUFFER_STEP_BYTES,
                        MAX_BUFFER_BYTES,
                        MAX_BUFFERS_PER_SIZE,
                        MAX_HEAP_BUFFER_BYTES,
                        MAX_DIRECT_BUFFER_BYTES));
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(MAX_REQUEST_HEADER_BYTES);
        NodeId control = config.control().orElseThrow();
        for (NodeId address : new TreeSet<>(List.of(control, config.registry().orElse(control)))) {
            ServerConnector connector = new ServerConnector(
                    server, pool, scheduler, null, ACCEPTORS, SELECTORS, new HttpConnectionFactory(http));
            connector.setHost(address.ip());
            connector.setPort(address.port());
            connector.setIdleTimeout(IDLE_TIMEOUT_MS);
            connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
            server.addConnector(connector);
        }
        return server;
    }

    /**
     * Waits until peers and data nodes have learnt of the shutdown from heartbeats, pending calls are answered, and
     * others have taken over.
     */
    private static void awaitHandover(ControlNode node) throws InterruptedException {
        for (int waitedMs = 0;
                waitedMs < MAX_HANDOVER_MS && (waitedMs < MIN_HANDOVER_MS || !node.handedOver());
                waitedMs += HANDOVER_POLL_MS) {
            Thread.sleep(HANDOVER_POLL_MS);
        }
    }
}
