package ringspindle;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import ringspindle.cli.Cli;
import ringspindle.cli.CommandLine;
import ringspindle.cli.ExitCode;
import ringspindle.cli.SelfTest;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.config.Validated;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;
import ringspindle.controlplane.server.ControlPlane;
import ringspindle.dataplane.DataPlane;
import ringspindle.logging.JsonLogFormatter;
import ringspindle.logging.LogField;
import ringspindle.storagenode.StorageNode;

/** What the program does: {@code data-plane}, {@code control-plane}, and the operator's command line. */
final class Program {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private static final String SELF_TEST = "selftest";

    /** Options that come before a command. */
    private static final class GlobalOptions {
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "this text")
        private boolean help;
    }

    /** Options of a daemon. */
    private static final class DaemonOptions {
        @Parameter(
                names = "--settings",
                description = "the settings file (default: the file named by RINGSPINDLE_SETTINGS)")
        private String settings = System.getenv("RINGSPINDLE_SETTINGS");

        @Parameter(names = "--log", description = "log level: FINE, INFO, WARNING")
        private String level = "INFO";

        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "this text")
        private boolean help;
    }

    private final GlobalOptions global = new GlobalOptions();
    private final DaemonOptions dataPlane = new DaemonOptions();
    private final DaemonOptions controlPlane = new DaemonOptions();
    private final DaemonOptions storageNode = new DaemonOptions();
    private final DaemonOptions selfTest = new DaemonOptions();
    private final Cli cli = new Cli(System.out, System.err);
    /** Made when there is something to parse. */
    private CommandLine line;

    private final DaemonSignals signals;

    Program(DaemonSignals signals) {
        this.signals = signals;
    }

    private Map<String, Object> commands() {
        Map<String, Object> commands = new LinkedHashMap<>();
        commands.put(Main.DATA_PLANE, dataPlane);
        commands.put(Main.CONTROL_PLANE, controlPlane);
        commands.put(Main.STORAGE_NODE, storageNode);
        commands.put(SELF_TEST, selfTest);
        commands.putAll(cli.options());
        return commands;
    }

    /** Runs the command that the arguments name; a daemon's runs until it is terminated. */
    ExitCode parseAndExecute(String[] args) {
        try {
            if (args.length == 1 && Main.isDaemon(args[0])) {
                // without options: a daemon's start does not wait for a parser that reads annotations
                return execute(args[0]);
            }
            line = new CommandLine(global, commands());
            line.parse(args);
            String command = line.command();
            if (global.help) {
                line.printUsage();
                return ExitCode.OK;
            }
            if (command == null) {
                throw new ParameterException("no command given");
            }
            if (wantsHelp(command)) {
                line.printCommandUsage();
                return ExitCode.OK;
            }
            return execute(command);
        } catch (ParameterException misuse) {
            System.err.println(misuse.getMessage());
            System.err.println(usageLine(args));
            return ExitCode.USAGE;
        }
    }

    private String usageLine(String[] args) {
        if (line == null) {
            line = new CommandLine(global, commands());
            line.parse(args);
        }
        return line.usageLine();
    }

    private boolean wantsHelp(String command) {
        boolean ofDaemon = dataPlane.help || controlPlane.help || storageNode.help;
        return ofDaemon || selfTest.help || cli.wantsHelp(command);
    }

    private ExitCode execute(String command) {
        return switch (command) {
            case Main.DATA_PLANE -> runDaemon(command, dataPlane);
            case Main.CONTROL_PLANE -> runDaemon(command, controlPlane);
            case Main.STORAGE_NODE -> runDaemon(command, storageNode);
            case SELF_TEST -> {
                JsonLogFormatter.install(Level.INFO);
                yield SelfTest.run();
            }
            default -> {
                JsonLogFormatter.install(Level.SEVERE);
                yield cli.run(command);
            }
        };
    }

    private ExitCode runDaemon(String command, DaemonOptions options) {
        installLog(options.level);
        if (options.settings == null || options.settings.isEmpty()) {
            throw new ParameterException("no settings file: give --settings or RINGSPINDLE_SETTINGS");
        }
        Path file = Path.of(options.settings);
        Validated<NodeConfig> read = NodeConfig.read(file);
        if (read instanceof Invalid<NodeConfig> invalid) {
            invalid.errors().forEach(error -> LOG.atSevere().log("settings: %s", error.text()));
            return ExitCode.USAGE;
        }
        Settings settings = new Settings(((Valid<NodeConfig>) read).value());
        signals.install();
        signals.onReload(() -> reload(settings, file));
        ShutdownDeadline.start(signals.terminated(), () -> settings.now().graceMs());
        try {
            switch (command) {
                case Main.DATA_PLANE -> DataPlane.run(settings, signals.terminated());
                case Main.CONTROL_PLANE -> ControlPlane.run(settings, signals.terminated());
                default -> StorageNode.run(settings, signals.terminated());
            }
            return ExitCode.OK;
        } catch (Exception failure) {
            LOG.atSevere().withCause(failure).log("%s fails", command);
            return ExitCode.FAILED;
        }
    }

    private static void installLog(String level) {
        try {
            JsonLogFormatter.install(Level.parse(level));
        } catch (IllegalArgumentException unknown) {
            throw new ParameterException("unknown log level " + level);
        }
    }

    private static void reload(Settings settings, Path file) {
        Settings.Reload reload = settings.reload(NodeConfig.read(file));
        if (reload.errors().isEmpty()) {
            LOG.atInfo()
                    .with(LogField.SETTINGS, reload.taken())
                    .log("settings read again and in force; after a restart: %s", reload.restart());
        }
        reload.errors().forEach(error -> LOG.atWarning().log("settings, kept as they were: %s", error.text()));
    }
}
