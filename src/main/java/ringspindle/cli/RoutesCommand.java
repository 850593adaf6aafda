package ringspindle.cli;

import com.beust.jcommander.Parameters;
import ringspindle.api.Operation;

/** {@code mappings}: the routes of the configuration in force. */
@Parameters(commandDescription = "mappings of the configuration in force")
final class RoutesCommand extends FleetCommand {
    private static final String[] COLUMNS = {
        "name", "host", "pathPrefix", "routeKind", "service", "weightedTargets", "deadlineMs", "priority", "homeRegions"
    };

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        return console.show(
                client.call(Operation.CONFIG_GET),
                wantsJson(),
                config -> console.printTable(config.getJsonArray("routes"), COLUMNS));
    }
}
