package ringspindle.cli;

import com.beust.jcommander.Parameters;
import ringspindle.api.Operation;

/** {@code engines}: the engines as the control plane knows them. */
@Parameters(commandDescription = "engines as last heard")
final class EnginesCommand extends FleetCommand {
    private static final String[] COLUMNS = {"id", "service", "zone", "address", "state", "weights", "beatAgeMs", "turn"
    };

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        return console.show(
                client.call(Operation.ENGINES),
                wantsJson(),
                reply -> console.printTable(reply.getJsonArray("engines"), COLUMNS));
    }
}
