package ringspindle.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import jakarta.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import ringspindle.api.Operation;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated.Invalid;

/** {@code config}: reads, checks, replaces, patches or compares the fleet's configuration. */
@Parameters(commandDescription = "get | check FILE | put FILE | patch FILE | diff FILE")
final class ConfigCommand extends FleetCommand {
    @Parameter(description = "get | check FILE | put FILE | patch FILE | diff FILE")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--base", description = "the version to build on (default: the one in force)")
    private Long base;

    @Override
    Optional<ExitCode> runOffline(Console console) {
        if (!verb(arguments, "").equals("check")) {
            return Optional.empty();
        }
        requireArguments(arguments, 2, "config check FILE");
        return Optional.of(check(arguments.get(1), console));
    }

    /** The control plane's own checks. */
    private static ExitCode check(String file, Console console) {
        if (FleetConfig.read(read(file)) instanceof Invalid<FleetConfig> invalid) {
            return console.refused("", invalid.errors());
        }
        console.print("valid");
        return ExitCode.OK;
    }

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        String verb = verb(arguments, "");
        if (verb.equals("get") && arguments.size() == 1) {
            return console.show(client.call(Operation.CONFIG_GET), wantsJson(), console::print);
        }
        if (!List.of("put", "patch", "diff").contains(verb) || arguments.size() != 2) {
            throw expected("config get | check FILE | put FILE | patch FILE | diff FILE");
        }
        byte[] body = read(arguments.get(1));
        RevisionedDocument config = new RevisionedDocument(Operation.CONFIG_GET, client, console);
        return switch (verb) {
            case "put" -> config.update(Operation.CONFIG_PUT, base, body);
            case "patch" -> config.update(Operation.CONFIG_PATCH, base, body);
            default -> config.diff(body, (current, changed) -> printDifferences(current, changed, console));
        };
    }

    private static void printDifferences(JsonObject current, JsonObject changed, Console console) {
        for (String list : List.of("routes", "services")) {
            NamedItems.differences(current, changed, list, list + " ").forEach(console::print);
        }
        if (!Objects.equals(current.get("limits"), changed.get("limits"))) {
            console.print("~ limits");
        }
    }
}
