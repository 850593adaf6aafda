package ringspindle.cli;

import jakarta.json.Json;
import java.util.Optional;

/** {@code rules status}: which nodes follow the committed serving rules. */
final class RulesStatus {
    private RulesStatus() {}

    /** Prints the regions; {@link ExitCode#OK} only if every node in touch is known to follow the rules. */
    static ExitCode print(ControlPlaneClient client, boolean asJson, Console console) throws InterruptedException {
        Optional<LedgerSurvey> taken = LedgerSurvey.take(client, console);
        if (taken.isEmpty()) {
            return ExitCode.NOT_REACHED;
        }
        LedgerSurvey survey = taken.get();
        boolean all = survey.ledger().allFollow() && survey.unreached().isEmpty();
        if (asJson) {
            printJson(survey, all, console);
        } else {
            printTable(survey, all, console);
        }
        return all ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void printJson(LedgerSurvey survey, boolean all, Console console) {
        FleetLedger ledger = survey.ledger();
        console.print(Json.createObjectBuilder()
                .add("revision", ledger.revision())
                .add("all", all)
                .add("regions", ledger.regionsJson())
                .add("unreached", survey.unreachedList())
                .add("idle", String.join(", ", ledger.idle()))
                .build());
    }

    private static void printTable(LedgerSurvey survey, boolean all, Console console) {
        FleetLedger ledger = survey.ledger();
        console.print("rules in force: " + (ledger.revision() == 0 ? "none" : "revision " + ledger.revision()));
        console.printTable(ledger.regionsJson(), "region", "follow", "other", "unheard", "notInTouch");
        ledger.idle().forEach(rule -> console.print("idle, as its route is not there: " + rule));
        survey.unreached()
                .forEach(node -> console.print("not reached, so nodes that report there are not known: " + node));
        console.print(all ? "every node in touch follows them" : "not every node is known to follow them");
    }
}
