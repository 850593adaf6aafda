package ringspindle.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import ringspindle.api.Operation;

/** {@code restore ZONE}: ends the evacuation of a zone. */
@Parameters(commandDescription = "takes the evacuation of ZONE back")
final class RestoreCommand extends FleetCommand {
    @Parameter(description = "ZONE")
    private List<String> arguments = new ArrayList<>();

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        requireArguments(arguments, 1, "restore ZONE");
        return console.report(client.call(ControlPlaneCall.of(Operation.RESTORE, arguments.get(0))));
    }
}
