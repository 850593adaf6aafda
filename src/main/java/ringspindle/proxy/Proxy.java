package ringspindle.proxy;

import java.util.Map;
import ringspindle.config.FleetConfig;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.routing.ServingRules;

/** The clients' side of a data node, as the owner of what the node knows sees it. */
public interface Proxy {
    /** The newest configuration in force here; older ones are ignored. */
    void config(FleetConfig c);

    /** The newest serving rules; older ones are ignored. */
    void rules(ServingRules r);

    /** What became of this node's actions, and the rules in force here; {@code edge.ledger(life, seq)}. */
    LedgerReport ledger(long life, long seq);

    /** A control node has told all that is in force. */
    void confirm();

    /** True while new clients are welcome. */
    boolean ready();

    /** Asks suspect engines for their health; {@code edge.probe()} on every tick. */
    void probe();

    /** Closes idle connections; {@code edge.tidy()} now and then. */
    void tidy();

    /** How many actions ended how; {@code edge.ends().get("COMPLETED")}. */
    Map<String, Long> ends();
}
