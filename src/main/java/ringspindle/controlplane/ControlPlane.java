package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.logging.LogField;
import ringspindle.protocol.NodeId;
import ringspindle.transport.LifeCycles;
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
    /** How long threads get to end: nobody is served meanwhile, though the port still takes connections. */
    private static final int STOP_MS = 200;

    private ControlPlane() {}

    /** Runs until told to end; {@code ControlPlane.run(settings, term)} then hands over and ends. */
    public static void run(Settings settings, CountDownLatch term) throws Exception {
        NodeConfig config = settings.now();
        Threads threads = Threads.start("cp", 16, 6);
        QueuedThreadPool pool = threads.pool();
        pool.setStopTimeout(STOP_MS);
        org.eclipse.jetty.util.thread.Scheduler beats = threads.scheduler();
        EngineReportClient reports = new EngineReportClient(pool, beats);
        Path folder = Path.of(config.dataPath().isEmpty() ? "/tmp/ringspindle" : config.dataPath());
        ControlNode control =
                new ControlNode(config, NodeEnvironment.real(threads), new DiskStorage(folder, pool), reports);
        reports.listener(control.engines()::reported);
        Server server = new Server(pool, beats, new ArrayByteBufferPool(0, 4096, 65536, 64, 2 << 20, 2 << 20));
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(16384);
        for (NodeId at : new java.util.TreeSet<>(java.util.List.of(
                config.control().orElseThrow(),
                config.registry().orElse(config.control().orElseThrow())))) {
            ServerConnector c = new ServerConnector(server, pool, beats, null, 0, 1, new HttpConnectionFactory(http));
            c.setHost(at.ip());
            c.setPort(at.port());
            c.setIdleTimeout(20000);
            c.setAcceptQueueSize(256);
            server.addConnector(c);
        }
        server.setHandler(new ControlApiHandler(control));
        settings.listen(control::settings);
        control.start();
        PeriodicTask.start(control::tick, beats, ControlNode.TICK_MS);
        server.start();
        LOG.atInfo().with(LogField.NODE, config.name()).log("control plane serves");
        term.await();
        control.leave();
        LOG.atInfo().with(LogField.NODE, config.name()).log("control plane shuts down");
        // peers and data nodes hear of it with the next heartbeats; calls under way get their answers; the others take
        // over
        for (int ms = 0; ms < LEAVE_MOST_MS && (ms < LEAVE_LEAST_MS || !control.handedOver()); ms += LEAVE_STEP_MS) {
            Thread.sleep(LEAVE_STEP_MS);
        }
        LifeCycles.stopQuietly(server);
    }
}
