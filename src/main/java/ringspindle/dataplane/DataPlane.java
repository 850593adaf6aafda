package ringspindle.dataplane;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.logging.LogField;
import ringspindle.proxy.ProxyHandler;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.NodeEnvironment;
import ringspindle.transport.PeriodicTask;
import ringspindle.transport.Threads;

/** The data plane's program. */
public final class DataPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Of the grace period, what is left for closing. */
    private static final int STOP_MS = 700;
    /** Clients that were told this node's address still use it for so long. */
    private static final int STILL_ADDRESSED_MS = 2500;

    private static final int IDLE_STEP_MS = 100;
    private static final int IDLE_STEPS = 5;

    private DataPlane() {}

    /**
     * Runs until told to end, then lets requests end.
     *
     * @param settings the settings in force, which may change while running
     * @param term counted down when the node is to end
     * @throws Exception if ports cannot be opened
     */
    public static void run(Settings settings, CountDownLatch term) throws Exception {
        NodeConfig config = settings.now();
        Threads threads = Threads.start("dp", 20, 8);
        QueuedThreadPool pool = threads.pool();
        Scheduler scheduler = threads.scheduler();
        NodeEnvironment environment = NodeEnvironment.real(threads);
        MonotonicClock clock = environment.clock();
        LoadBalancer loadBalancer = LoadBalancer.create(config);
        ProxyHandler proxy = new ProxyHandler(config, loadBalancer, pool, scheduler, clock);
        DataNode node = new DataNode(config, proxy, loadBalancer, environment);
        settings.listen(loadBalancer::updateSettings);
        settings.listen(node::settings);
        node.start();
        config.metrics().ifPresent(address -> proxy.serveMetrics(address, DataPlaneMetrics.of(proxy, loadBalancer)));
        PeriodicTask.start(node::tick, scheduler, DataNode.TICK_MS);
        proxy.open();
        LOG.atInfo().with(LogField.NODE, config.name()).log("data plane serves");
        term.await();
        long endMs = clock.nowMs() + (long) (settings.now().graceS() * 1000) - STOP_MS;
        proxy.leave(endMs);
        node.leave();
        LOG.atInfo()
                .with(LogField.NODE, config.name())
                .with(LogField.COUNT, proxy.active())
                .log("data plane shuts down with requests in flight");
        // clients hold addresses for a while; what still comes is served
        Thread.sleep(STILL_ADDRESSED_MS);
        proxy.stopAccepting();
        awaitIdle(proxy, clock, endMs);
        proxy.close();
    }

    /** Waits until no request has been active for a moment and none can begin any more, and no longer than to that time. */
    private static void awaitIdle(ProxyHandler proxy, MonotonicClock clock, long endMs) throws InterruptedException {
        int idleSteps = 0;
        while (clock.nowMs() < endMs) {
            Thread.sleep(IDLE_STEP_MS);
            idleSteps = proxy.active() == 0 ? idleSteps + 1 : 0;
            if (idleSteps >= IDLE_STEPS && proxy.refuseIfIdle()) {
                // whoever still sends gets a refusal, and time to read it
                Thread.sleep(IDLE_STEP_MS);
                return;
            }
        }
    }
}
