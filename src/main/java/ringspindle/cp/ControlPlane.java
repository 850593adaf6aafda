package ringspindle.cp;

import com.google.common.flogger.*;
import java.util.concurrent.*;
import org.eclipse.jetty.io.*;
import org.eclipse.jetty.server.*;
import org.eclipse.jetty.util.thread.*;
import ringspindle.conf.*;
import ringspindle.wire.*;

/** The control plane's program. */
public final class ControlPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private ControlPlane() {
    }

    /** Runs until told to end; {@code ControlPlane.run(config, ended)} returns when the node serves. */
    public static void run(NodeConfig config, CountDownLatch term) throws Exception {
        QueuedThreadPool pool = new QueuedThreadPool(16, 6);
        pool.setName("cp");
        pool.setReservedThreads(0);
        pool.setDaemon(true);
        pool.start();
        ScheduledExecutorScheduler beats = new ScheduledExecutorScheduler("beats", true, 1);
        beats.start();
        Control control = new Control(config, pool, beats);
        Server server = new Server(pool, beats, new ArrayByteBufferPool(0, 4096, 65536, 64, 2 << 20, 2 << 20));
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setRequestHeaderSize(16384);
        for (NodeId at : new java.util.TreeSet<>(java.util.List.of(config.control().orElseThrow(),
                config.registry().orElse(config.control().orElseThrow())))) {
            ServerConnector c = new ServerConnector(server, pool, beats, null, 0, 1, new HttpConnectionFactory(http));
            c.setHost(at.ip());
            c.setPort(at.port());
            c.setIdleTimeout(20000);
            c.setAcceptQueueSize(256);
            server.addConnector(c);
        }
        server.setHandler(new Gate(control));
        control.start();
        server.start();
        LOG.atInfo().log("control plane %s serves", config.name());
        term.await();
        control.leave();
        LOG.atInfo().log("control plane %s leaves", config.name());
        // peers and data nodes hear of it with the next beats; calls under way get their answers
        Thread.sleep(700);
        LifeCycleQuietly.stop(server);
    }
}
