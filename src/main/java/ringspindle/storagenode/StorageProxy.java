package ringspindle.storagenode;

import java.util.Map;
import ringspindle.config.FleetConfig;
import ringspindle.experiment.ExperimentTable;
import ringspindle.experiment.OutcomeTable;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.proxy.EngineMaintenance;
import ringspindle.proxy.Proxy;
import ringspindle.routing.RequestLedger;
import ringspindle.routing.ServingRules;

/**
 * What a storage node does with facts that a data node gives its proxy: it keeps the configuration, by which items run, and has no
 * clients of its own. Thread safe.
 */
final class StorageProxy implements Proxy {
    private final EngineMaintenance engines;
    private final RequestLedger ledger = new RequestLedger();
    private final ExperimentTable experiments = new ExperimentTable();
    private final OutcomeTable outcomes = new OutcomeTable();
    private volatile FleetConfig config;
    private volatile boolean confirmed;
    private volatile boolean leaving;

    StorageProxy(EngineMaintenance engines) {
        this.engines = engines;
    }

    /** The configuration in force, null while none is known to be. */
    FleetConfig configurationInForce() {
        return confirmed ? config : null;
    }

    /** From now on the node takes part in nothing new. */
    void leave() {
        leaving = true;
    }

    @Override
    public void updateConfiguration(FleetConfig newer) {
        FleetConfig current = config;
        if (current == null || newer.revision() > current.revision()) {
            config = newer;
        }
    }

    @Override
    public void updateRules(ServingRules newer) {
        // items fall under no serving rule
    }

    @Override
    public LedgerReport ledgerReport(long life, long seq) {
        return ledger.report(life, seq, 0, 0);
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
    public void confirmUpToDate(long heartbeatSentMs) {
        // no client's key is gone by here
    }

    @Override
    public boolean isReady() {
        return !leaving;
    }

    @Override
    public boolean acceptsRequests() {
        return !leaving;
    }

    @Override
    public void probeEngines() {
        engines.probeEngines();
        engines.tick();
    }

    @Override
    public void closeIdleConnections() {
        engines.closeIdleConnections();
    }

    @Override
    public Map<String, Long> endCounts() {
        return Map.of("ITEMS ACTIVE", (long) engines.active());
    }
}
