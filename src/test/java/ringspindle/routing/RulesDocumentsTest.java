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
 * Compares the parsing of seeded valid and invalid documents with recorded hashes: the texts of all errors in order,
 * and the rule that applies to each request. The hashes were recorded before the parser was extracted into its own
 * class and guard against changes in its behavior.
 */
class RulesDocumentsTest {
    private static final String EXPECTED = "/ringspindle/routing/rules-documents.txt";
    private static final int SEEDS = 40;
    private static final int DOCUMENTS_PER_SEED = 150;

    private final Set<String> errorTypes = new TreeSet<>();
    private long hash;
    private int rejected;

    private static FleetConfig config() {
        String json =
                "{\"revision\":1,\"routes\":[{\"name\":\"scrip\",\"host\":\"h\",\"pathPrefix\":\"/s/\",\"deadlineMs\":1,"
                        + "\"service\":\"s\",\"homeRegions\":[\"ahd\"]}],"
                        + "\"services\":[{\"name\":\"s\",\"engine\":{\"models\":[{\"name\":\"m\"}]}}]}";
        return ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
    }

    private void addToHash(Object value) {
        hash = hash * 31 + value.toString().hashCode();
    }

    private void addErrors(List<ConfigError> errors) {
        for (ConfigError error : errors) {
            addToHash(error.getClass().getSimpleName());
            addToHash(error.text());
            errorTypes.add(error.getClass().getSimpleName());
        }
    }

    private void addRule(ServingRules rules, ServingRule rule) {
        addToHash(rule.name());
        addToHash(rule.rank() + " " + rule.share() + " " + rule.waitMs());
        addToHash(String.format(Locale.ROOT, "%.6f", rules.shareReservedForOthers(rule)));
        if (rule.affinity() != null) {
            addToHash(rule.affinity().basis().name());
            addToHash(rule.affinity().maxParts() + " " + rule.affinity().maxTokens() + " "
                    + rule.affinity().maxImbalance());
            addToHash(rule.affinity()
                    .key("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
                    .hash());
        }
        for (List<FallbackTarget> targets : List.of(rule.whenBusy(), rule.whenUnavailable())) {
            for (FallbackTarget target : targets) {
                addToHash(target.scope().name() + " " + target.regions() + " " + target.waitMs());
            }
        }
    }

    private void addDocument(String json) {
        Validated<ServingRules> result = ServingRules.read(json.getBytes(UTF_8));
        if (result instanceof Validated.Invalid<ServingRules> invalid) {
            rejected++;
            addErrors(invalid.errors());
            return;
        }
        ServingRules rules = ((Validated.Valid<ServingRules>) result).value();
        addToHash(rules.revision());
        addToHash(rules.digest());
        addToHash(new String(rules.bytes(), UTF_8));
        rules.all().forEach(rule -> addRule(rules, rule));
        addErrors(ServingRulesValidator.validate(rules, config(), Set.of("ahd", "srt")));
        addErrors(ServingRulesValidator.validate(rules, null, Set.of()));
        addToHash(rules.rulesWithUnknownRoute(config()));
        for (String route : List.of("scrip", "other")) {
            for (int promptTokens : List.of(0, 3000, 7000)) {
                for (boolean homeBound : List.of(true, false)) {
                    addToHash(rules.match(new RequestAttributes(route, "h", "/s/x", "m", promptTokens, homeBound))
                            .name());
                }
            }
        }
    }

    private static List<String> expected() throws IOException {
        try (InputStream input = RulesDocumentsTest.class.getResourceAsStream(EXPECTED)) {
            return new String(input.readAllBytes(), UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .toList();
        }
    }

    @Test
    void parsingMatchesRecordedHashes() throws IOException {
        List<String> actual = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            RandomRulesDocument documents = new RandomRulesDocument(seed);
            for (int i = 0; i < DOCUMENTS_PER_SEED; i++) {
                addDocument(documents.next());
            }
            actual.add("seed=" + seed + " refused=" + rejected + " hash=" + Long.toHexString(hash));
        }
        assertEquals(String.join("\n", expected()), String.join("\n", actual));
        assertTrue(
                rejected > SEEDS * DOCUMENTS_PER_SEED / 5 && rejected < SEEDS * DOCUMENTS_PER_SEED * 4 / 5,
                "rejected " + rejected);
        Set<String> possibleErrorTypes = Set.of(
                "Missing", "UnknownField", "OutOfRange", "SameName", "Unreachable", "UnknownName", "OutsideHomes");
        assertTrue(errorTypes.containsAll(Set.of("Missing", "UnknownField", "OutOfRange", "Unreachable")));
        assertTrue(possibleErrorTypes.containsAll(errorTypes), errorTypes.toString());
        assertTrue(errorTypes.containsAll(Set.of("UnknownName", "OutsideHomes")), errorTypes.toString());
    }
}
