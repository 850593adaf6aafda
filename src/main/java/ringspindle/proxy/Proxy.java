package ringspindle.proxy;

import java.util.Map;
import ringspindle.config.FleetConfig;
import ringspindle.experiment.ExperimentTable;
import ringspindle.experiment.OutcomeTable;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.routing.ServingRules;

/** The clients' side of a data node, as the owner of what the node knows sees it. Thread safe. */
public interface Proxy {
    /** Puts a configuration in force here; one that is not newer is ignored. */
    void updateConfiguration(FleetConfig newer);

    /** Puts serving rules in force here; ones that are not newer are ignored. */
    void updateRules(ServingRules newer);

    /**
     * What became of this node's actions, and the rules in force here.
     *
     * @param incarnation the incarnation of this node
     * @param sequence the number of the report, which rises
     */
    LedgerReport ledgerReport(long incarnation, long sequence);

    /** Experiments in force here; whoever hears a control node that is in touch with a majority renews its lease. */
    ExperimentTable experiments();

    /** What became of the requests that took part in experiments. */
    OutcomeTable outcomes();

    /** A control node has told all that is in force: from now on requests are taken. */
    void markConfirmed();

    /**
     * What is in force here was proven to be what is committed.
     *
     * @param heartbeatSentMs when the heartbeat was sent by whose answer that is known, on the steady clock
     */
    void confirmUpToDate(long heartbeatSentMs);

    /** True while new clients are welcome. */
    boolean isReady();

    /** True while requests are taken, also by a node that is shutting down. */
    boolean acceptsRequests();

    /** Asks ejected engines for their health, as far as that is due. */
    void probeEngines();

    /** Closes connections to engines that are idle for too long, or lead to engines that are gone. */
    void closeIdleConnections();

    /** How many actions have ended how: by state, and by cause if they were cancelled. */
    Map<String, Long> endCounts();
}
