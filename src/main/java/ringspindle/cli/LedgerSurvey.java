package ringspindle.cli;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import ringspindle.api.Operation;

/**
 * The ledgers that the control nodes hold: data nodes report to one control node each, so all are asked.
 *
 * @param ledger the merged reports
 * @param unreached endpoints of the control nodes that did not reply, whose data nodes are missing
 */
record LedgerSurvey(FleetLedger ledger, Set<String> unreached) {
    /** Asks all control nodes; empty, after a message, if none could be asked for the others. */
    static Optional<LedgerSurvey> take(ControlPlaneClient client, Console console) throws InterruptedException {
        ControlPlaneReply status = client.call(Operation.STATUS);
        if (!(status instanceof ControlPlaneReply.Accepted accepted)) {
            console.report(status);
            return Optional.empty();
        }
        FleetLedger ledger = new FleetLedger();
        Set<String> unreached = new TreeSet<>();
        for (String node : ControlNodes.known(client, accepted.json())) {
            if (client.callOnce(node, Operation.LEDGER) instanceof ControlPlaneReply.Accepted report) {
                ledger.add(report.json());
            } else {
                unreached.add(node);
            }
        }
        return Optional.of(new LedgerSurvey(ledger, unreached));
    }

    /** The control nodes that were not reached, in one field. */
    String unreachedList() {
        return String.join(", ", unreached);
    }
}
