package ringspindle;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import ringspindle.cli.Cli;
import ringspindle.cli.CommandLine;
import ringspindle.cli.SelfTest;
import ringspindle.config.NodeConfig;
import ringspindle.config.Settings;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlPlane;
import ringspindle.dataplane.DataPlane;
import ringspindle.logging.JsonLines;

/** The program: {@code data-plane}, {@code control-plane}, and the operator's command line. */
public final class Main {
    /** Bad usage or settings. */
    static final int USAGE = 2;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Options that come before a command. */
    static final class Global {
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "this text")
        boolean help;
    }

    /** Options of a daemon. */
    static final class Daemon {
        @Parameter(
                names = "--settings",
                description = "the settings file (default: the file named by RINGSPINDLE_SETTINGS)")
        String settings = System.getenv("RINGSPINDLE_SETTINGS");

        @Parameter(names = "--log", description = "log level: FINE, INFO, WARNING")
        String level = "INFO";

        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "this text")
        boolean help;
    }

    private Main() {}

    /** {@code java -jar ringspindle.jar control-plane --settings node.conf}. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** {@code Main.run(new String[] {"config", "check", "file.json"})} gives the exit code. */
    public static int run(String[] args) {
        Daemon data = new Daemon();
        Daemon control = new Daemon();
        Daemon self = new Daemon();
        Cli cli = Cli.create(System.out, System.err);
        Global global = new Global();
        CommandLine line = new CommandLine(global);
        JCommander parser = line.parser();
        parser.addCommand("data-plane", data);
        parser.addCommand("control-plane", control);
        parser.addCommand("selftest", self);
        cli.addTo(parser);
        try {
            line.parse(args);
            String command = line.command();
            if (global.help) {
                parser.usage();
                return 0;
            }
            if (command == null) {
                throw new ParameterException("no command given");
            }
            if (data.help || control.help || self.help || cli.wantsHelp(command)) {
                parser.getUsageFormatter().usage(command);
                return 0;
            }
            return execute(command, cli, command.equals("data-plane") ? data : control);
        } catch (ParameterException x) {
            System.err.println(x.getMessage());
            System.err.println(line.usageLine());
            return USAGE;
        }
    }

    private static int execute(String command, Cli cli, Daemon daemon) {
        switch (command) {
            case "data-plane":
            case "control-plane":
                return daemon(command, daemon);
            case "selftest":
                JsonLines.install(Level.INFO);
                return SelfTest.run();
            default:
                JsonLines.install(Level.SEVERE);
                return cli.run(command);
        }
    }

    private static int daemon(String command, Daemon d) {
        try {
            JsonLines.install(Level.parse(d.level));
        } catch (IllegalArgumentException x) {
            throw new ParameterException("unknown log level " + d.level);
        }
        if (d.settings == null || d.settings.isEmpty()) {
            throw new ParameterException("no settings file: give --settings or RINGSPINDLE_SETTINGS");
        }
        Validated<NodeConfig> c = NodeConfig.read(Path.of(d.settings));
        if (c instanceof Validated.Invalid<NodeConfig> bad) {
            bad.problems().forEach(p -> LOG.atSevere().log("settings: %s", p.text()));
            return USAGE;
        }
        NodeConfig config = ((Validated.Valid<NodeConfig>) c).value();
        CountDownLatch term = new CountDownLatch(1);
        sun.misc.Signal.handle(new sun.misc.Signal("TERM"), s -> term.countDown());
        sun.misc.Signal.handle(new sun.misc.Signal("INT"), s -> term.countDown());
        Settings settings = new Settings(config);
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), s -> {
            Settings.Reload r = settings.reload(NodeConfig.read(Path.of(d.settings)));
            r.problems().forEach(p -> LOG.atWarning().log("settings, kept as they were: %s", p.text()));
            if (r.problems().isEmpty()) {
                LOG.atInfo().log("settings read again; taken over: %s; after a restart: %s", r.taken(), r.restart());
            }
        });
        try {
            if (command.equals("data-plane")) {
                DataPlane.run(settings, term);
            } else {
                ControlPlane.run(settings, term);
            }
            return 0;
        } catch (Exception x) {
            LOG.atSevere().withCause(x).log("%s fails", command);
            return 1;
        }
    }
}
