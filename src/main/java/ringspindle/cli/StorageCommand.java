package ringspindle.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import ringspindle.api.Operation;

/**
 * {@code storage}: shards of batch jobs with their leaders and replicas; {@code storage retire NODE} has a storage node emptied, and
 * {@code storage retirement NODE} tells whether it is.
 */
@Parameters(commandDescription = "shards with leaders and replicas; retire NODE; retirement NODE")
final class StorageCommand extends FleetCommand {
    private static final String USAGE = "storage [retire NODE | retirement NODE]";

    @Parameter(description = "[retire NODE | retirement NODE]")
    private List<String> arguments = new ArrayList<>();

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        return switch (verb(arguments, "list")) {
            case "list" -> console.show(client.call(Operation.STATUS), wantsJson(), status -> print(status, console));
            case "retire" -> console.report(client.call(ControlPlaneCall.of(Operation.RETIRE, node())));
            case "retirement" ->
                console.show(
                        client.call(ControlPlaneCall.of(Operation.RETIREMENT, node())),
                        wantsJson(),
                        answer -> console.print(node() + " " + answer.getString("state")));
            default -> throw expected(USAGE);
        };
    }

    private String node() {
        requireArguments(arguments, 2, USAGE);
        return arguments.get(1);
    }

    private static void print(JsonObject status, Console console) {
        JsonArray shards = status.getJsonArray("shards");
        if (shards == null) {
            console.print("no storage nodes, no shards");
            return;
        }
        console.printTable(shards, "shard", "condition", "epoch", "leader", "members", "learners");
    }
}
