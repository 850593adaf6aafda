package ringspindle;

import java.util.Set;
import ringspindle.cli.ExitCode;

/**
 * Where the program begins. A daemon handles signals before any other class of it is loaded: until then a SIGHUP ends the
 * process, and what {@link Program} needs takes a good part of a start. So there is no logger and no state here.
 */
public final class Main {
    /** The command that runs a data node. */
    static final String DATA_PLANE = "data-plane";
    /** The command that runs a control node. */
    static final String CONTROL_PLANE = "control-plane";
    /** The command that runs a storage node. */
    static final String STORAGE_NODE = "storage-node";

    private static final Set<String> DAEMONS = Set.of(DATA_PLANE, CONTROL_PLANE, STORAGE_NODE);

    private Main() {}

    /** Runs the command that the arguments name, for example {@code control-plane --settings node.conf}. */
    public static void main(String[] args) {
        DaemonSignals signals = new DaemonSignals();
        if (args.length > 0 && isDaemon(args[0])) {
            signals.install();
        }
        System.exit(new Program(signals).parseAndExecute(args).value());
    }

    /** True for a command that runs until it is told to end. */
    static boolean isDaemon(String command) {
        return DAEMONS.contains(command);
    }

    /** Runs the command that the arguments name; a daemon's runs until it is terminated. */
    public static ExitCode run(String[] args) {
        return new Program(new DaemonSignals()).parseAndExecute(args);
    }
}
