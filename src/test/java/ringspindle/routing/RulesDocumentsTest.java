package ringspindle.routing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;

/**
 * Pins what is read from seeded documents, right and wrong ones: the texts of all errors in their order, and which rule
 * applies to which request. The expected lines were recorded before the parser became a class of its own.
 */
class RulesDocumentsTest {
    private static final String EXPECTED = "/ringspindle/routing/rules-documents.txt";
    private static final int SEEDS = 40;
    private static final int DOCUMENTS = 150;

    private final Set<String> kindsOfErrors = new TreeSet<>();
    private long hash;
    private int refused;

    private static FleetConfig config() {
        String json =
                "{\"revision\":1,\"routes\":[{\"name\":\"scrip\",\"host\":\"h\",\"pathPrefix\":\"/s/\",\"deadlineMs\":1,"
                        + "\"service\":\"s\",\"homeRegions\":[\"ahd\"]}],"
                        + "\"services\":[{\"name\":\"s\",\"engine\":{\"models\":[{\"name\":\"m\"}]}}]}";
        return ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
    }

    private void note(Object fact) {
        hash = hash * 31 + fact.toString().hashCode();
    }

    private void noteErrors(List<ConfigError> errors) {
        for (ConfigError error : errors) {
            note(error.getClass().getSimpleName());
            note(error.text());
            kindsOfErrors.add(error.getClass().getSimpleName());
        }
    }

    private void noteRule(ServingRules rules, ServingRule rule) {
        note(rule.name());
        note(rule.rank() + " " + rule.share() + " " + rule.waitMs());
        note(String.format(Locale.ROOT, "%.6f", rules.shareReservedForOthers(rule)));
        if (rule.affinity() != null) {
            note(rule.affinity().basis().name());
            note(rule.affinity().maxParts() + " " + rule.affinity().maxTokens() + " "
                    + rule.affinity().maxImbalance());
            note(rule.affinity().key("5c1e07a2:800,91bd3f06:410,e4402b7d:250").hash());
        }
        for (List<FallbackTarget> targets : List.of(rule.whenBusy(), rule.whenUnavailable())) {
            for (FallbackTarget target : targets) {
                note(target.scope().name() + " " + target.regions() + " " + target.waitMs());
            }
        }
    }

    private void noteDocument(String json) {
        Validated<ServingRules> read = ServingRules.read(json.getBytes(UTF_8));
        if (read instanceof Validated.Invalid<ServingRules> invalid) {
            refused++;
            noteErrors(invalid.errors());
            return;
        }
        ServingRules rules = ((Validated.Valid<ServingRules>) read).value();
        note(rules.revision());
        note(rules.digest());
        note(new String(rules.bytes(), UTF_8));
        rules.all().forEach(rule -> noteRule(rules, rule));
        noteErrors(ServingRulesValidator.validate(rules, config(), Set.of("ahd", "srt")));
        noteErrors(ServingRulesValidator.validate(rules, null, Set.of()));
        note(rules.rulesWithUnknownRoute(config()));
        for (String route : List.of("scrip", "other")) {
            for (int promptTokens : List.of(0, 3000, 7000)) {
                for (boolean home : List.of(true, false)) {
                    note(rules.match(new RequestAttributes(route, "h", "/s/x", "m", promptTokens, home))
                            .name());
                }
            }
        }
    }

    private static List<String> expected() throws IOException {
        try (InputStream in = RulesDocumentsTest.class.getResourceAsStream(EXPECTED)) {
            return new String(in.readAllBytes(), UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .toList();
        }
    }

    @Test
    void documentsAreReadAsWasRecorded() throws IOException {
        List<String> actual = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            RandomRulesDocument documents = new RandomRulesDocument(seed);
            for (int i = 0; i < DOCUMENTS; i++) {
                noteDocument(documents.next());
            }
            actual.add("seed=" + seed + " refused=" + refused + " hash=" + Long.toHexString(hash));
        }
        assertEquals(String.join("\n", expected()), String.join("\n", actual));
        assertTrue(refused > SEEDS * DOCUMENTS / 5 && refused < SEEDS * DOCUMENTS * 4 / 5, "refused " + refused);
        Set<String> all = Set.of(
                "Missing", "UnknownField", "OutOfRange", "SameName", "Unreachable", "UnknownName", "OutsideHomes");
        assertTrue(kindsOfErrors.containsAll(Set.of("Missing", "UnknownField", "OutOfRange", "Unreachable")));
        assertTrue(all.containsAll(kindsOfErrors), kindsOfErrors.toString());
        assertTrue(kindsOfErrors.containsAll(Set.of("UnknownName", "OutsideHomes")), kindsOfErrors.toString());
    }
}
