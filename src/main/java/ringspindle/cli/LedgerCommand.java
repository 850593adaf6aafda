package ringspindle.cli;

import com.beust.jcommander.Parameters;
import jakarta.json.Json;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** {@code ledger}: what became of the requests, summed over the fleet, and whether the sums are consistent. */
@Parameters(commandDescription = "what became of the requests, by class and revision of the serving rules")
final class LedgerCommand extends FleetCommand {
    /** A request that ran twice is for {@code --json} only. */
    private static final String[] COLUMNS = Stream.concat(
                    Stream.of("revision", "class"),
                    Stream.of(LedgerCounter.values())
                            .filter(counter -> counter != LedgerCounter.RUN_TWICE)
                            .map(LedgerCounter::field))
            .toArray(String[]::new);

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        Optional<LedgerSurvey> taken = LedgerSurvey.take(client, console);
        if (taken.isEmpty()) {
            return ExitCode.NOT_REACHED;
        }
        LedgerSurvey survey = taken.get();
        List<String> broken = survey.ledger().brokenLaws();
        if (wantsJson()) {
            console.print(Json.createObjectBuilder()
                    .add("classes", survey.ledger().totalsJson())
                    .add("broken", Json.createArrayBuilder(broken))
                    .add("unreached", survey.unreachedList())
                    .build());
        } else {
            printTable(survey, broken, console);
        }
        return broken.isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private static void printTable(LedgerSurvey survey, List<String> broken, Console console) {
        console.printTable(survey.ledger().totalsJson(), COLUMNS);
        survey.unreached().forEach(node -> console.print("not reached, so actions counted there are missing: " + node));
        broken.forEach(law -> console.printError("broken law: " + law));
        console.print(broken.isEmpty() ? "all laws hold in what was heard" : broken.size() + " laws broken");
    }
}
