package ringspindle.dataplane;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.logging.LogField;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.proxy.ProxyHandler;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.NodeEnvironment;
import ringspindle.transport.PeriodicTask;
import ringspindle.transport.Threads;

/** The data plane's program. */
public final class DataPlane {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private DataPlane() {}

    /**
     * Runs until told to end, then lets requests end. What is still open is closed by the end of the process.
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
        NodeEnvironment environment = NodeEnvironment.real(threads, config.bindIp());
        MonotonicClock clock = environment.clock();
        LoadBalancer loadBalancer = LoadBalancer.create(config);
        ProxyHandler proxy = new ProxyHandler(config, loadBalancer, pool, scheduler, clock);
        NodeId me = DataNode.identity(config, NodeKind.DATA);
        DataNode node = new DataNode(config, NodeKind.DATA, proxy, loadBalancer, environment, mesh -> {
            JobCaller jobs =
                    new JobCaller(mesh, pool, clock, environment.random().getAsLong());
            QuotaCaller quotas =
                    new QuotaCaller(me, mesh, pool, clock, environment.random().getAsLong());
            proxy.services().setJobs(jobs);
            proxy.services().setQuotas(quotas);
            UsageReporter usage = new UsageReporter(
                    me,
                    environment.incarnation(),
                    mesh,
                    clock,
                    config.platform().windowMs());
            proxy.services().setUsage(usage);
            return new NodeComponents(List.of(jobs, quotas, usage));
        });
        proxy.setStateFreshness(node::describeKnowledge);
        settings.listen(loadBalancer::updateSettings);
        settings.listen(node::settings);
        node.start();
        config.metrics()
                .ifPresent(address -> proxy.serveMetrics(address, DataPlaneMetrics.of(proxy, loadBalancer, node)));
        PeriodicTask.start(node::tick, scheduler, DataNode.TICK_MS);
        proxy.open();
        LOG.atInfo().with(LogField.NODE, config.name()).log("data plane serves");
        term.await();
        new GracefulShutdown(proxy, node, clock).run(settings.now().graceMs());
    }
}
