package ringspindle.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import ringspindle.protocol.NodeId;

/** A command of the operator: its options, which the parser fills in, and what it does. */
abstract class FleetCommand {
    @Parameter(
            names = {"--control", "-c"},
            description = "control nodes, ip:port, separated by commas (or RINGSPINDLE_CONTROL)")
    private String control = System.getenv("RINGSPINDLE_CONTROL");

    @Parameter(names = "--json", description = "JSON instead of a table")
    private boolean json;

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "this text")
    private boolean help;

    /**
     * Carries the command out through the control plane.
     *
     * @throws ParameterException if the arguments do not fit the command
     * @throws Exception if something fails that has no exit code of its own
     */
    abstract ExitCode run(ControlPlaneClient client, Console console) throws Exception;

    /** Carries the command out if it needs no control node; empty if it needs one. */
    Optional<ExitCode> runOffline(Console console) {
        return Optional.empty();
    }

    final boolean wantsHelp() {
        return help;
    }

    final boolean wantsJson() {
        return json;
    }

    /**
     * The control nodes to ask, {@code ip:port}.
     *
     * @throws ParameterException if none are given or one is no address
     */
    final List<String> controlNodes() {
        if (control == null || control.isBlank()) {
            throw new ParameterException("no control nodes: give --control ip:port,... or RINGSPINDLE_CONTROL");
        }
        List<String> nodes = new ArrayList<>();
        // a comma at the end is ignored
        for (String address : control.split(",", 0)) {
            try {
                nodes.add(NodeId.of(address.trim()).toString());
            } catch (RuntimeException malformed) {
                throw new ParameterException("not an address: " + address);
            }
        }
        if (nodes.isEmpty()) {
            throw new ParameterException("no address among the control nodes: '" + control + "'");
        }
        return nodes;
    }

    /**
     * What a file holds.
     *
     * @throws ParameterException if it cannot be read, with the reason
     */
    static byte[] read(String name) {
        Path file = Path.of(name);
        if (Files.isDirectory(file)) {
            throw new ParameterException("cannot read " + name + ": it is a directory");
        }
        try {
            return Files.readAllBytes(file);
        } catch (NoSuchFileException missing) {
            throw new ParameterException("cannot read " + name + ": there is no such file");
        } catch (IOException failure) {
            throw new ParameterException("cannot read " + name + ": " + failure.getMessage());
        }
    }

    /** The first argument, or {@code otherwise} if there is none. */
    static String verb(List<String> arguments, String otherwise) {
        return arguments.isEmpty() ? otherwise : arguments.get(0);
    }

    /** Refuses any other number of arguments. */
    static void requireArguments(List<String> arguments, int count, String expected) {
        if (arguments.size() != count) {
            throw expected(expected);
        }
    }

    static ParameterException expected(String usage) {
        return new ParameterException("expected " + usage);
    }
}
