package ringspindle.cli;

import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The operator's commands over the whole fleet, which work through any control node. */
public final class Cli {
    private final Console console;
    private final Map<String, FleetCommand> commands = new LinkedHashMap<>();

    /**
     * The commands, whose options a {@link CommandLine} fills in.
     *
     * @param out where results go
     * @param err where errors go
     */
    public Cli(PrintStream out, PrintStream err) {
        console = new Console(out, err);
        commands.put("status", new StatusCommand());
        commands.put("engines", new EnginesCommand());
        commands.put("mappings", new RoutesCommand());
        commands.put("config", new ConfigCommand());
        commands.put("evacuate", new EvacuateCommand());
        commands.put("restore", new RestoreCommand());
        commands.put("rollout", new RolloutCommand());
        commands.put("rules", new RulesCommand());
        commands.put("ledger", new LedgerCommand());
        commands.put("tallies", new CounterCommand());
        commands.put("experiment", new ExperimentCommand());
        commands.put("storage", new StorageCommand());
        commands.put("tenants", new TenantsCommand());
    }

    /** The objects that hold the options of each command, by the command's name, for a {@link CommandLine} to fill in. */
    public Map<String, Object> options() {
        return new LinkedHashMap<>(commands);
    }

    /** Whether help on the command was asked for; false if there is no such command. */
    public boolean wantsHelp(String name) {
        return commands.containsKey(name) && commands.get(name).wantsHelp();
    }

    /** Runs a command whose options were parsed. */
    public ExitCode run(String name) {
        FleetCommand command = commands.get(name);
        try {
            Optional<ExitCode> offline = command.runOffline(console);
            return offline.isPresent() ? offline.get() : runOnline(command);
        } catch (ParameterException misuse) {
            console.printError(misuse.getMessage());
            console.printError(CommandLine.usageLine(name, command));
            return ExitCode.USAGE;
        }
    }

    private ExitCode runOnline(FleetCommand command) {
        try (ControlPlaneClient client = new ControlPlaneClient(command.controlNodes())) {
            return command.run(client, console);
        } catch (ParameterException misuse) {
            throw misuse;
        } catch (Exception failure) {
            console.printError("failed: " + failure.getMessage());
            return ExitCode.FAILED;
        }
    }
}
