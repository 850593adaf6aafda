package ringspindle;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.cli.ExitCode;

/** Help texts, and the refusal of command lines that cannot be understood. */
@Timeout(60)
class MainTest {
    private static final List<String> DAEMONS = List.of("data-plane", "control-plane", "storage-node");
    private static final List<String> FLEET_COMMANDS = List.of(
            "status",
            "engines",
            "mappings",
            "config",
            "evacuate",
            "restore",
            "rollout",
            "rules",
            "ledger",
            "experiment");

    private final PrintStream standardOut = System.out;
    private final PrintStream standardError = System.err;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeEach
    void capture() {
        System.setOut(new PrintStream(out, true, UTF_8));
        System.setErr(new PrintStream(err, true, UTF_8));
    }

    @AfterEach
    void restore() {
        System.setOut(standardOut);
        System.setErr(standardError);
    }

    private static Stream<String> commands() {
        return Stream.of(DAEMONS, List.of("selftest"), FLEET_COMMANDS).flatMap(List::stream);
    }

    private static Stream<String> fleetCommands() {
        return FLEET_COMMANDS.stream();
    }

    private ExitCode run(String... words) {
        return Main.run(words);
    }

    private void assertRefused(String message, String usageStart, String... words) {
        assertEquals(ExitCode.USAGE, run(words), () -> String.join(" ", words));
        List<String> lines = err.toString(UTF_8).lines().toList();
        assertEquals(2, lines.size(), lines::toString);
        assertTrue(lines.get(0).contains(message), lines::toString);
        assertTrue(lines.get(1).startsWith(usageStart), lines::toString);
        assertEquals("", out.toString(UTF_8));
    }

    @ParameterizedTest
    @ValueSource(strings = {"--help", "-h", "--help status"})
    void helpOnTheProgramListsAllCommands(String line) {
        assertEquals(ExitCode.OK, run(line.split(" ")));
        commands().forEach(c -> assertTrue(out.toString(UTF_8).contains(c), c));
        assertEquals("", err.toString(UTF_8));
    }

    @ParameterizedTest
    @MethodSource("commands")
    void helpOnACommandEndsWithZero(String command) {
        assertEquals(ExitCode.OK, run(command, "--help"));
        assertEquals(ExitCode.OK, run(command, "-h"));
        assertTrue(out.toString(UTF_8).contains("Usage: " + command), out.toString(UTF_8));
        assertEquals("", err.toString(UTF_8));
    }

    @ParameterizedTest
    @CsvSource({
        "'',no command given",
        "dance,unknown command dance",
        "--dance,unknown option --dance",
        "--dance status,unknown option --dance",
        "@file,unknown command @file"
    })
    void unknownCommandsAndGlobalOptionsAreRefused(String line, String message) {
        String[] words =
                Arrays.stream(line.split(" ")).filter(w -> !w.isEmpty()).toArray(String[]::new);
        assertRefused(message, "usage: ringspindle [--help] COMMAND", words);
    }

    @ParameterizedTest
    @MethodSource("commands")
    void unknownOptionsAreRefused(String command) {
        assertRefused("unknown option --dance", "usage: ringspindle " + command, command, "--dance");
    }

    @ParameterizedTest
    @MethodSource("fleetCommands")
    void fleetCommandsRefuseAMissingOrMalformedAddress(String command) {
        assertRefused("expected a value after --control", "usage: ringspindle " + command, command, "--control");
        err.reset();
        assertRefused("expected a value after -c", "usage: ringspindle " + command, command, "-c", "--json");
        err.reset();
        assertRefused("not an address: nonsense", "usage: ringspindle " + command, command, "-c", "nonsense");
    }

    @ParameterizedTest
    @CsvSource({
        "evacuate --dance,usage: ringspindle evacuate ZONE [options]",
        "evacuate -c 127.0.0.1:1,usage: ringspindle evacuate ZONE [options]",
        "status --dance,usage: ringspindle status [options]",
        "status -c x,usage: ringspindle status [options]"
    })
    void usageLinesNameTheWordsOfACommand(String line, String usage) {
        assertRefused("", usage, line.split(" "));
    }

    @ParameterizedTest
    @CsvSource({
        "status z,unexpected argument z",
        "data-plane z,unexpected argument z",
        "selftest z,unexpected argument z",
        "data-plane --settings,expected a value after --settings",
        "control-plane --settings --log FINE,expected a value after --settings",
        "data-plane --settings node.conf --log LOUD,unknown log level LOUD",
        "control-plane --settings node.conf --settings node.conf,--settings",
        "config put f --base x,--base",
        "config check,expected config check FILE",
        "config -c 127.0.0.1:1,expected config get",
        "evacuate -c 127.0.0.1:1,expected evacuate ZONE",
        "restore a b -c 127.0.0.1:1,expected restore ZONE",
        "rollout start s --at-once x,--at-once",
        "rollout start s --floor x,--floor",
        "rollout start s --patience,--patience",
        "rollout start s -c 127.0.0.1:1,expected rollout start SERVICE --target N",
        "rollout show s -c 127.0.0.1:1,expected rollout show",
        "rules check,expected rules check FILE",
        "rules explain --prompt -1,--prompt",
        "rules explain --prefix nonsense,--prefix",
        "rules explain --file f --host --home,--host"
    })
    void wordsAndValuesThatCannotBeUnderstoodAreRefused(String line, String message) {
        String[] words = line.split(" ");
        assertRefused(message, "usage: ringspindle " + words[0], words);
    }
}
