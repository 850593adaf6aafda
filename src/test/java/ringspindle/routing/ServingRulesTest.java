package ringspindle.routing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ringspindle.config.ConfigError;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;

/** Serving rules: the first match applies, and invalid documents are rejected with the path of each error. */
class ServingRulesTest {
    static final String VALID_DOCUMENT = """
            {"revision": 3,
             "rules": [
              {"name": "digests", "match": {"prompt": {"from": 5000}},
               "class": {"rank": 2, "share": 0.25, "waitMs": 900},
               "affinity": {"by": "prompt", "parts": 1, "uneven": 2},
               "busy": [{"to": "next", "waitMs": 100}, {"to": "region"}, {"to": "any", "waitMs": 300}],
               "gone": [{"to": "region"}, {"to": "regions", "names": ["srt"]}]},
              {"name": "questions", "match": {"route": "scrip", "home": true}, "class": {"rank": 0, "share": 0.5, "waitMs": 120},
               "affinity": {"by": "none"}}],
             "default": {"class": {"rank": 5}}}
            """;

    private static ServingRules read(String json) {
        Validated<ServingRules> result = ServingRules.read(json.getBytes(UTF_8));
        assertTrue(
                result instanceof Validated.Valid<ServingRules>,
                () -> ((Validated.Invalid<ServingRules>) result).errors().toString());
        return ((Validated.Valid<ServingRules>) result).value();
    }

    private static List<ConfigError> errors(String json) {
        return ServingRules.read(json.getBytes(UTF_8)) instanceof Validated.Invalid<ServingRules> invalid
                ? invalid.errors()
                : List.of();
    }

    private static FleetConfig config() {
        String json =
                "{\"revision\":1,\"routes\":[{\"name\":\"scrip\",\"host\":\"h\",\"pathPrefix\":\"/s/\",\"deadlineMs\":1,\"service\":\"s\","
                        + "\"homeRegions\":[\"ahd\"]}],\"services\":[{\"name\":\"s\",\"engine\":{\"models\":[{\"name\":\"m\"}]}}]}";
        return ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
    }

    private static RequestAttributes request(String route, int promptTokens, boolean homeBound) {
        return new RequestAttributes(route, "h", "/s/x", "m", promptTokens, homeBound);
    }

    @Test
    void firstMatchingRuleAppliesElseTheDefault() {
        ServingRules rules = read(VALID_DOCUMENT);
        assertEquals("digests", rules.match(request("scrip", 17_000, true)).name());
        assertEquals("questions", rules.match(request("scrip", 383, true)).name());
        assertEquals(
                ServingRules.DEFAULT_CLASS,
                rules.match(request("scrip", 383, false)).name());
        assertEquals(5, rules.match(request("other", 383, true)).rank());
        assertEquals(
                0.5,
                rules.shareReservedForOthers(rules.match(request("", 17_000, true))),
                1e-9,
                "share that digests must leave to questions");
        assertEquals(0.75, rules.shareReservedForOthers(rules.match(request("other", 3, false))), 1e-9);
        assertEquals(
                List.of(
                        new FallbackTarget(FallbackTarget.Scope.REGION, List.of(), 0),
                        new FallbackTarget(FallbackTarget.Scope.REGIONS, List.of("srt"), 0)),
                rules.all().get(0).whenUnavailable());
        assertEquals(
                rules.digest(),
                read(new String(rules.bytes(), UTF_8)).digest(),
                "digest must be unchanged after a round trip");
    }

    @Test
    void affinityKeyCoversTheComparedPartsOnly() {
        String prefix = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
        String otherPrefix = "5c1e07a2:800,aaaaaaaa:410,e4402b7e:250";
        Affinity firstPartAffinity = new Affinity(Affinity.Basis.PROMPT, 1, Integer.MAX_VALUE, 1.5);
        assertEquals(
                firstPartAffinity.key(prefix).hash(),
                firstPartAffinity.key(otherPrefix).hash());
        assertNotEquals(
                Affinity.defaultKey(prefix).hash(),
                Affinity.defaultKey(otherPrefix).hash());
        assertEquals(
                1210,
                firstPartAffinity.key(prefix).sharedTokens(),
                "another engine recomputes all shared tokens, compared or not");
        assertEquals(0, Affinity.defaultKey("a:999,b:5").hash(), "a prefix below the minimum length has no affinity");
        assertNotEquals(0, Affinity.defaultKey("a:1000,b:5").hash());
        assertEquals(
                new Affinity(Affinity.Basis.PROMPT, 64, 800, 1.5).key(prefix).hash(),
                firstPartAffinity.key(prefix).hash(),
                "parts that start after 800 tokens are not compared");
        Affinity sessionAffinity = new Affinity(Affinity.Basis.SESSION, 64, Integer.MAX_VALUE, 1.5);
        assertEquals(
                sessionAffinity.key("x:1,s:9").hash(),
                sessionAffinity.key("y:7,s:12").hash());
        assertEquals(
                0,
                new Affinity(Affinity.Basis.NONE, 64, Integer.MAX_VALUE, 1.5)
                        .key(prefix)
                        .hash());
        for (String malformedPrefix : List.of("", ",", "x", "x:", ":5,y:1", "a:b,c:d")) {
            assertEquals(0, firstPartAffinity.key(malformedPrefix).hash(), malformedPrefix);
        }
    }

    @Test
    void invalidDocumentsAreRejectedWithErrorTypeAndPath() {
        Map<String, ConfigError> expectedErrors = new LinkedHashMap<>();
        expectedErrors.put("{\"rules\":[]}", new ConfigError.Missing("revision"));
        expectedErrors.put("{\"revision\":1,\"rule\":[]}", new ConfigError.UnknownField("", "rule"));
        expectedErrors.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"user\":\"x\"}}]}",
                new ConfigError.UnknownField("rules[0].match", "user"));
        expectedErrors.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"route\":\"x\"}},{\"name\":\"a\"}]}",
                new ConfigError.SameName("a"));
        expectedErrors.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\"},{\"name\":\"b\",\"match\":{\"route\":\"x\"}}]}",
                new ConfigError.Unreachable("rules[1]", "a"));
        expectedErrors.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"path\":\"/x/\"}},{\"name\":\"b\",\"match\":{\"path\":\"/x/y/\"}}]}",
                new ConfigError.Unreachable("rules[1]", "a"));
        expectedErrors.put(
                "{\"revision\":1,\"default\":{\"class\":{\"waitMs\":-1}}}",
                new ConfigError.OutOfRange("default.class.waitMs", "-1", "a whole number from 0 to 30000"));
        expectedErrors.put(
                "{\"revision\":1,\"default\":{\"class\":{\"waitMs\":86400000}}}",
                new ConfigError.OutOfRange("default.class.waitMs", "86400000", "a whole number from 0 to 30000"));
        expectedErrors.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"route\":\"x\"},\"class\":{\"share\":0.7}}],\"default\":{\"class\":{\"share\":0.6}}}",
                new ConfigError.OutOfRange("shares of all classes", "1.300", "at most 1 together"));
        expectedErrors.put(
                "{\"revision\":1,\"default\":{\"busy\":[{\"to\":\"moon\"}]}}",
                new ConfigError.OutOfRange("default.busy[0].to", "moon", "next, zone, region, regions or any"));
        expectedErrors.put(
                "{\"revision\":1,\"default\":{\"class\":{\"waitMs\":50},\"busy\":[{\"to\":\"zone\",\"waitMs\":30},{\"to\":\"any\",\"waitMs\":30}]}}",
                new ConfigError.OutOfRange(
                        "default.busy[1].waitMs", "60 with those before", "at most the class's waitMs, 50"));
        expectedErrors.put(
                "{\"revision\":1,\"default\":{\"gone\":[{\"to\":\"regions\"}]}}",
                new ConfigError.OutOfRange("default.gone[0].names", "[]", "names where to is regions, none elsewhere"));
        expectedErrors.forEach(
                (json, expected) -> assertTrue(errors(json).contains(expected), json + " gives " + errors(json)));
        for (String json : List.of(
                "",
                "{",
                "[]",
                "{\"revision\":1,\"revision\":2}",
                "{\"revision\":\"1\"}",
                "{\"revision\":1.5}",
                "{\"revision\":1e30}",
                "{\"revision\":1,\"rules\":{}}",
                "{\"revision\":1,\"rules\":[7]}",
                "{\"revision\":1,\"rules\":[{\"name\":\"plain\"}]}")) {
            assertFalse(errors(json).isEmpty(), json);
        }
        assertEquals(
                List.of(new ConfigError.TooLong(ServingRules.MAX_BYTES + 1, ServingRules.MAX_BYTES)),
                errors(" ".repeat(ServingRules.MAX_BYTES + 1)));
    }

    @Test
    void namesAreCheckedAgainstConfigurationAndRegions() {
        assertEquals(List.of(), ServingRulesValidator.validate(read(VALID_DOCUMENT), config(), Set.of("ahd", "srt")));
        assertEquals(
                List.of(new ConfigError.UnknownName("rules[0].gone[1].names", "srt")),
                ServingRulesValidator.validate(read(VALID_DOCUMENT), config(), Set.of("ahd")));
        String forbiddenRegion =
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"route\":\"scrip\"},\"gone\":[{\"to\":\"regions\",\"names\":[\"srt\"]}]}]}";
        assertEquals(
                List.of(new ConfigError.OutsideHomes("rules[0].gone[0].names", "srt")),
                ServingRulesValidator.validate(read(forbiddenRegion), config(), Set.of("ahd", "srt")));
        String unknownNames =
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"route\":\"none\",\"model\":\"q\"}}]}";
        assertEquals(
                List.of(
                        new ConfigError.UnknownName("rules[0].match.route", "none"),
                        new ConfigError.UnknownName("rules[0].match.model", "q")),
                ServingRulesValidator.validate(read(unknownNames), config(), Set.of()));
        assertEquals(List.of("a"), read(unknownNames).rulesWithUnknownRoute(config()));
    }

    /** A client may send any prefix; one without parts has no session and shares nothing. */
    @Test
    void prefixWithoutPartsHasNoKeyOnAnyBasis() {
        for (Affinity.Basis basis : Affinity.Basis.values()) {
            for (String prefix : new String[] {"", ",", ",,", ":", ":1", "a"}) {
                assertEquals(0, new Affinity(basis, 4, 4096, 2.0).key(prefix).hash(), basis + " " + prefix);
            }
        }
    }
}
