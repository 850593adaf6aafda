package ringspindle.dataplane;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.proxy.ProxyHandler;
import ringspindle.transport.NodeEnvironment;
import ringspindle.transport.PeriodicTask;
import ringspindle.transport.Threads;

/** The data plane's program. */
public final class DataPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private DataPlane() {}

    /** Runs until told to end; {@code DataPlane.run(settings, term)} then lets requests end. */
    public static void run(Settings settings, CountDownLatch term) throws Exception {
        NodeConfig config = settings.now();
        Threads threads = Threads.start("dp", 20, 8);
        QueuedThreadPool pool = threads.pool();
        org.eclipse.jetty.util.thread.Scheduler beats = threads.timers();
        NodeEnvironment means = NodeEnvironment.real(threads);
        LoadBalancer picker = LoadBalancer.create(config);
        ProxyHandler front = new ProxyHandler(config, picker, pool, beats, means.clock());
        DataNode data = new DataNode(config, front, picker, means);
        settings.listen(picker::updateSettings);
        settings.listen(data::settings);
        data.start();
        PeriodicTask.start(data::tick, beats, DataNode.TICK_MS);
        front.open();
        LOG.atInfo().log("data plane %s serves", config.name());
        term.await();
        long endMs = means.clock().nowMs() + (long) (settings.now().graceS() * 1000) - 700;
        front.leave();
        data.leave();
        LOG.atInfo().log("data plane %s leaves, %s under way", config.name(), front.active());
        // consumers hold addresses for a while; what still comes is served
        Thread.sleep(2500);
        front.stopAccepting();
        int calm = 0;
        while (means.clock().nowMs() < endMs && calm < 5) {
            Thread.sleep(100);
            calm = front.active() == 0 ? calm + 1 : 0;
        }
        front.close();
    }
}
