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
    private String command;

    /** A command line without commands; {@code new CommandLine(globalOptions)}. */
    public CommandLine(Object globalOptions) {
        parser = JCommander.newBuilder()
                .programName(PROGRAM)
                .addObject(globalOptions)
                .build();
        parser.setExpandAtSign(false);
        parser.createDescriptions();
    }

    /** The parser to which commands are added; {@code commandLine.parser().addCommand("status", options)}. */
    public JCommander parser() {
        return parser;
    }

    /**
     * Parses the arguments into the objects that hold the options.
     *
     * @throws ParameterException if a command or an option is unknown, or a value is missing or malformed
     */
    public void parse(String[] args) {
        int position = commandPosition(args);
        if (position < args.length) {
            JCommander options = parser.getCommands().get(args[position]);
            if (options == null) {
                throw new ParameterException("unknown command " + args[position]);
            }
            command = args[position];
            check(options, Arrays.copyOfRange(args, position + 1, args.length));
        }
        parser.parse(args);
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
