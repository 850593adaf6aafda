package ringspindle.dataplane;

import java.util.Map;
import ringspindle.config.FleetConfig;
import ringspindle.config.NodeConfig;
import ringspindle.experiment.ExperimentTable;
import ringspindle.experiment.OutcomeTable;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.NodeKind;
import ringspindle.proxy.JobGateway;
import ringspindle.proxy.Proxy;
import ringspindle.routing.RequestLedger;
import ringspindle.routing.ServingRules;
import ringspindle.transport.NodeEnvironment;

/** A real data node's knowledge and choices without its clients' side: ticked from outside. */
public final class HollowDataNode implements Proxy {
    private final DataNode data;
    private final LoadBalancer loadBalancer;
    private final ExperimentTable experiments = new ExperimentTable();
    private final OutcomeTable outcomes = new OutcomeTable();
    private JobCaller jobs;
    private boolean confirmed;
    private int failures;
    private long revision = -1;
    private long rules;
    private long digest;

    /** Starts a data node without a listener. */
    public HollowDataNode(NodeConfig config, NodeEnvironment means) throws Exception {
        loadBalancer = LoadBalancer.create(config);
        data = new DataNode(config, NodeKind.DATA, this, loadBalancer, means, mesh -> {
            jobs = new JobCaller(
                    mesh, means.pool(), means.clock(), means.random().getAsLong());
            return jobs;
        });
        data.start();
    }

    /** Milliseconds between two ticks. */
    public static int tickMs() {
        return DataNode.TICK_MS;
    }

    /** Does the periodic work. */
    public void tick() {
        data.tick();
    }

    /** The settings file changed. */
    public void settings(NodeConfig changed) {
        data.settings(changed);
    }

    /** The node's load balancer. */
    public LoadBalancer loadBalancer() {
        return loadBalancer;
    }

    /** The way to the storage nodes. */
    public JobGateway jobs() {
        return jobs;
    }

    /** The revision in force here, below 0 while there is none. */
    public long revision() {
        return revision;
    }

    @Override
    public void updateConfiguration(FleetConfig c) {
        if (failures > 0) {
            failures--;
            throw new IllegalStateException("planted");
        }
        revision = c.revision();
    }

    /** The next so many configurations fail to be put into force. */
    public void failToConfigure(int times) {
        failures = times;
    }

    @Override
    public void updateRules(ServingRules r) {
        if (r.revision() > rules) {
            rules = r.revision();
            digest = r.digest();
        }
    }

    @Override
    public LedgerReport ledgerReport(long life, long seq) {
        return new RequestLedger().report(life, seq, rules, digest);
    }

    /** The serving rules in force here, 0 while there are none. */
    public long rules() {
        return rules;
    }

    @Override
    public ExperimentTable experiments() {
        return experiments;
    }

    @Override
    public OutcomeTable outcomes() {
        return outcomes;
    }

    @Override
    public void markConfirmed() {
        confirmed = true;
    }

    @Override
    public void confirmUpToDate(long heartbeatSentMs) {}

    @Override
    public boolean isReady() {
        return confirmed && revision >= 0;
    }

    @Override
    public boolean acceptsRequests() {
        return isReady();
    }

    @Override
    public void probeEngines() {
        loadBalancer.dueHealthProbes(0);
    }

    @Override
    public void closeIdleConnections() {
        // no connections here
    }

    @Override
    public Map<String, Long> endCounts() {
        return Map.of();
    }
}
