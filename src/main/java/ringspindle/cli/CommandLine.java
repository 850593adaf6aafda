package ringspindle.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses a command and its options strictly, and gives the usage lines that go with a refusal. */
public final class CommandLine {
    private static final String PROGRAM = "ringspindle";

    private final JCommander parser;
    private final Map<String, Object> commands;
    private String command;

    /**
     * A command line.
     *
     * @param globalOptions holds the options that come before a command
     * @param commands the objects that hold the options of each command, by the command's name
     */
    public CommandLine(Object globalOptions, Map<String, Object> commands) {
        this.commands = commands;
        parser = JCommander.newBuilder()
                .programName(PROGRAM)
                .addObject(globalOptions)
                .build();
        parser.setExpandAtSign(false);
        parser.createDescriptions();
    }

    /**
     * Parses the arguments into the objects that hold the options. Only the options of the command that is given are
     * described to the parser, which reads annotations: describing all commands took a seventh of a daemon's start.
     *
     * @throws ParameterException if a command or an option is unknown, or a value is missing or malformed
     */
    public void parse(String[] args) {
        int position = commandPosition(args);
        if (position < args.length) {
            if (!commands.containsKey(args[position])) {
                throw new ParameterException("unknown command " + args[position]);
            }
            command = args[position];
            check(describe(command), Arrays.copyOfRange(args, position + 1, args.length));
        }
        parser.parse(args);
    }

    /** Describes a command's options to the parser, once. */
    private JCommander describe(String name) {
        if (!parser.getCommands().containsKey(name)) {
            parser.addCommand(name, commands.get(name));
        }
        return parser.getCommands().get(name);
    }

    /** Prints how to call the program, with all its commands. */
    public void printUsage() {
        commands.keySet().forEach(this::describe);
        parser.usage();
    }

    /** Prints how to call the command that was given. */
    public void printCommandUsage() {
        parser.getUsageFormatter().usage(command);
    }

    /** The command that was given, null if none was. */
    public String command() {
        return command;
    }

    /** The usage line of the command that was given, or of the program if none was. */
    public String usageLine() {
        if (command == null) {
            return "usage: " + PROGRAM + " [--help] COMMAND [options]";
        }
        return usageLine(command, parser.getCommands().get(command));
    }

    /** The usage line of one command, read from the annotations of its options. */
    static String usageLine(String command, Object options) {
        JCommander described = JCommander.newBuilder().addObject(options).build();
        described.createDescriptions();
        return usageLine(command, described);
    }

    private static String usageLine(String command, JCommander options) {
        ParameterDescription words = options.getMainParameterValue();
        return "usage: " + PROGRAM + " " + command + (words == null ? "" : " " + words.getDescription()) + " [options]";
    }

    /** The index of the command: global options come before it. */
    private int commandPosition(String[] args) {
        Map<String, ParameterDescription> known = byName(parser);
        int position = 0;
        while (position < args.length && isOption(args[position])) {
            requireKnown(known, args[position]);
            position++;
        }
        return position;
    }

    /** Refuses what the parser would take for a word or for a value although it is an option. */
    private static void check(JCommander options, String[] args) {
        Map<String, ParameterDescription> known = byName(options);
        for (int i = 0; i < args.length; i++) {
            if (isOption(args[i])) {
                requireKnown(known, args[i]);
                if (takesValue(known.get(args[i]))) {
                    i++;
                    requireValue(known, args, i);
                }
            } else if (options.getMainParameterValue() == null) {
                throw new ParameterException("unexpected argument " + args[i]);
            }
        }
    }

    private static Map<String, ParameterDescription> byName(JCommander parser) {
        Map<String, ParameterDescription> byName = new HashMap<>();
        for (ParameterDescription description : parser.getParameters()) {
            for (String name : List.of(description.getParameter().names())) {
                byName.put(name, description);
            }
        }
        return byName;
    }

    private static boolean isOption(String arg) {
        return arg.startsWith("-");
    }

    private static boolean takesValue(ParameterDescription option) {
        return option.getParameterized().getType() != boolean.class;
    }

    private static void requireKnown(Map<String, ParameterDescription> known, String option) {
        if (!known.containsKey(option)) {
            throw new ParameterException("unknown option " + option);
        }
    }

    private static void requireValue(Map<String, ParameterDescription> known, String[] args, int index) {
        if (index == args.length || known.containsKey(args[index])) {
            throw new ParameterException("expected a value after " + args[index - 1]);
        }
    }
}
