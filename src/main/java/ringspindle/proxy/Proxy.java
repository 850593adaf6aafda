package ringspindle.proxy;

import java.util.Map;
import ringspindle.config.FleetConfig;
import ringspindle.experiment.ExperimentTable;
import ringspindle.experiment.OutcomeTable;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.routing.ServingRules;

/** The client-facing side of a data node, as seen by the component that holds the replicated state. Thread safe. */
public interface Proxy {
    /** Puts a configuration in force on this node; ignored unless it is newer. */
    void updateConfiguration(FleetConfig newer);

    /** Puts serving rules in force on this node; ignored unless they are newer. */
    void updateRules(ServingRules newer);

    /**
     * Reports the outcomes of this node's actions and the serving rules in force.
     *
     * @param incarnation the incarnation of this node
     * @param sequence the increasing number of the report
     */
    LedgerReport ledgerReport(long incarnation, long sequence);

    /** Experiments in force on this node; their lease is renewed on contact with a control node that reaches a majority. */
    ExperimentTable experiments();

    /** Outcomes of the requests that took part in experiments. */
    OutcomeTable outcomes();

    /** Starts accepting requests: a control node has sent everything that is in force. */
    void markConfirmed();

    /**
     * Records that the state in force on this node was confirmed to be the committed state.
     *
     * @param heartbeatSentMs when the heartbeat whose acknowledgement confirmed it was sent, on the monotonic clock
     */
    void confirmUpToDate(long heartbeatSentMs);

    /** Returns true while the node accepts new clients. */
    boolean isReady();

    /** Returns true while requests are accepted, also during shutdown. */
    boolean acceptsRequests();

    /** Sends the health probes that are due to ejected engines. */
    void probeEngines();

    /** Closes engine connections that are idle for too long or whose engine is no longer known. */
    void closeIdleConnections();

    /** Counts of ended actions by state, and by cause for cancelled ones. */
    Map<String, Long> endCounts();
}
