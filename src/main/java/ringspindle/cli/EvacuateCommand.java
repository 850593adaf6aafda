package ringspindle.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import ringspindle.api.Operation;

/** {@code evacuate ZONE}: no new requests to the engines of a zone. */
@Parameters(commandDescription = "nothing more to the engines of ZONE")
final class EvacuateCommand extends FleetCommand {
    @Parameter(description = "ZONE")
    private List<String> arguments = new ArrayList<>();

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        requireArguments(arguments, 1, "evacuate ZONE");
        return console.report(client.call(ControlPlaneCall.of(Operation.EVACUATE, arguments.get(0))));
    }
}
