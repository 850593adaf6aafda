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

/** Serving rules as operators write them: the first that fits wins, and what is wrong is refused with its place. */
class ServingRulesTest {
    static final String GOOD = """
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
        Validated<ServingRules> c = ServingRules.read(json.getBytes(UTF_8));
        assertTrue(
                c instanceof Validated.Valid<ServingRules>,
                () -> ((Validated.Invalid<ServingRules>) c).errors().toString());
        return ((Validated.Valid<ServingRules>) c).value();
    }

    private static List<ConfigError> problems(String json) {
        return ServingRules.read(json.getBytes(UTF_8)) instanceof Validated.Invalid<ServingRules> bad
                ? bad.errors()
                : List.of();
    }

    private static FleetConfig config() {
        String json =
                "{\"revision\":1,\"routes\":[{\"name\":\"scrip\",\"host\":\"h\",\"pathPrefix\":\"/s/\",\"deadlineMs\":1,\"service\":\"s\","
                        + "\"homeRegions\":[\"ahd\"]}],\"services\":[{\"name\":\"s\",\"engine\":{\"models\":[{\"name\":\"m\"}]}}]}";
        return ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
    }

    private static RequestAttributes asked(String route, int prompt, boolean home) {
        return new RequestAttributes(route, "h", "/s/x", "m", prompt, home);
    }

    @Test
    void firstThatFitsWinsAndTheDefaultClosesTheList() {
        ServingRules r = read(GOOD);
        assertEquals("digests", r.match(asked("scrip", 17_000, true)).name());
        assertEquals("questions", r.match(asked("scrip", 383, true)).name());
        assertEquals(
                ServingRules.DEFAULT_CLASS, r.match(asked("scrip", 383, false)).name());
        assertEquals(5, r.match(asked("other", 383, true)).rank());
        assertEquals(
                0.5,
                r.shareReservedForOthers(r.match(asked("", 17_000, true))),
                1e-9,
                "what digests leave to questions");
        assertEquals(0.75, r.shareReservedForOthers(r.match(asked("other", 3, false))), 1e-9);
        assertEquals(
                List.of(
                        new FallbackTarget(FallbackTarget.Scope.REGION, List.of(), 0),
                        new FallbackTarget(FallbackTarget.Scope.REGIONS, List.of("srt"), 0)),
                r.all().get(0).whenUnavailable());
        assertEquals(r.digest(), read(new String(r.bytes(), UTF_8)).digest(), "the same after a round trip");
    }

    @Test
    void keysAreTheSameForWhatIsSharedAndAsWithoutRulesWhereNothingIsSaid() {
        String one = "5c1e07a2:800,91bd3f06:410,e4402b7d:250";
        String other = "5c1e07a2:800,aaaaaaaa:410,e4402b7e:250";
        Affinity first = new Affinity(Affinity.Basis.PROMPT, 1, Integer.MAX_VALUE, 1.5);
        assertEquals(first.key(one).hash(), first.key(other).hash());
        assertNotEquals(
                Affinity.defaultKey(one).hash(), Affinity.defaultKey(other).hash());
        assertEquals(1210, first.key(one).sharedTokens(), "all that is shared is still read again elsewhere");
        assertEquals(0, Affinity.defaultKey("a:999,b:5").hash(), "short heads are held by nobody");
        assertNotEquals(0, Affinity.defaultKey("a:1000,b:5").hash());
        assertEquals(
                new Affinity(Affinity.Basis.PROMPT, 64, 800, 1.5).key(one).hash(),
                first.key(one).hash(),
                "no part that begins behind 800");
        Affinity session = new Affinity(Affinity.Basis.SESSION, 64, Integer.MAX_VALUE, 1.5);
        assertEquals(session.key("x:1,s:9").hash(), session.key("y:7,s:12").hash());
        assertEquals(
                0,
                new Affinity(Affinity.Basis.NONE, 64, Integer.MAX_VALUE, 1.5)
                        .key(one)
                        .hash());
        for (String odd : List.of("", ",", "x", "x:", ":5,y:1", "a:b,c:d")) {
            assertEquals(0, first.key(odd).hash(), odd);
        }
    }

    @Test
    void whatIsWrongIsRefusedWithItsTypeAndPlace() {
        Map<String, ConfigError> wrong = new LinkedHashMap<>();
        wrong.put("{\"rules\":[]}", new ConfigError.Missing("revision"));
        wrong.put("{\"revision\":1,\"rule\":[]}", new ConfigError.UnknownField("", "rule"));
        wrong.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"user\":\"x\"}}]}",
                new ConfigError.UnknownField("rules[0].match", "user"));
        wrong.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"route\":\"x\"}},{\"name\":\"a\"}]}",
                new ConfigError.SameName("a"));
        wrong.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\"},{\"name\":\"b\",\"match\":{\"route\":\"x\"}}]}",
                new ConfigError.Unreachable("rules[1]", "a"));
        wrong.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"path\":\"/x/\"}},{\"name\":\"b\",\"match\":{\"path\":\"/x/y/\"}}]}",
                new ConfigError.Unreachable("rules[1]", "a"));
        wrong.put(
                "{\"revision\":1,\"default\":{\"class\":{\"waitMs\":-1}}}",
                new ConfigError.OutOfRange("default.class.waitMs", "-1", "a whole number from 0 to 30000"));
        wrong.put(
                "{\"revision\":1,\"default\":{\"class\":{\"waitMs\":86400000}}}",
                new ConfigError.OutOfRange("default.class.waitMs", "86400000", "a whole number from 0 to 30000"));
        wrong.put(
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"route\":\"x\"},\"class\":{\"share\":0.7}}],\"default\":{\"class\":{\"share\":0.6}}}",
                new ConfigError.OutOfRange("shares of all classes", "1.300", "at most 1 together"));
        wrong.put(
                "{\"revision\":1,\"default\":{\"busy\":[{\"to\":\"moon\"}]}}",
                new ConfigError.OutOfRange("default.busy[0].to", "moon", "next, zone, region, regions or any"));
        wrong.put(
                "{\"revision\":1,\"default\":{\"class\":{\"waitMs\":50},\"busy\":[{\"to\":\"zone\",\"waitMs\":30},{\"to\":\"any\",\"waitMs\":30}]}}",
                new ConfigError.OutOfRange(
                        "default.busy[1].waitMs", "60 with those before", "at most the class's waitMs, 50"));
        wrong.put(
                "{\"revision\":1,\"default\":{\"gone\":[{\"to\":\"regions\"}]}}",
                new ConfigError.OutOfRange("default.gone[0].names", "[]", "names where to is regions, none elsewhere"));
        wrong.forEach((json, p) -> assertTrue(problems(json).contains(p), json + " gives " + problems(json)));
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
            assertFalse(problems(json).isEmpty(), json);
        }
        assertEquals(
                List.of(new ConfigError.TooLong(ServingRules.MAX_BYTES + 1, ServingRules.MAX_BYTES)),
                problems(" ".repeat(ServingRules.MAX_BYTES + 1)));
    }

    @Test
    void namesAreCheckedAgainstConfigurationAndZones() {
        assertEquals(List.of(), ServingRulesValidator.validate(read(GOOD), config(), Set.of("ahd", "srt")));
        assertEquals(
                List.of(new ConfigError.UnknownName("rules[0].gone[1].names", "srt")),
                ServingRulesValidator.validate(read(GOOD), config(), Set.of("ahd")));
        String homes =
                "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"route\":\"scrip\"},\"gone\":[{\"to\":\"regions\",\"names\":[\"srt\"]}]}]}";
        assertEquals(
                List.of(new ConfigError.OutsideHomes("rules[0].gone[0].names", "srt")),
                ServingRulesValidator.validate(read(homes), config(), Set.of("ahd", "srt")));
        String names = "{\"revision\":1,\"rules\":[{\"name\":\"a\",\"match\":{\"route\":\"none\",\"model\":\"q\"}}]}";
        assertEquals(
                List.of(
                        new ConfigError.UnknownName("rules[0].match.route", "none"),
                        new ConfigError.UnknownName("rules[0].match.model", "q")),
                ServingRulesValidator.validate(read(names), config(), Set.of()));
        assertEquals(List.of("a"), read(names).rulesWithUnknownRoute(config()));
    }

    /** A client may send any prefix; one without parts belongs to no session and shares nothing. */
    @Test
    void prefixWithoutPartsHasNoKeyOnAnyBasis() {
        for (Affinity.Basis basis : Affinity.Basis.values()) {
            for (String prefix : new String[] {"", ",", ",,", ":", ":1", "a"}) {
                assertEquals(0, new Affinity(basis, 4, 4096, 2.0).key(prefix).hash(), basis + " " + prefix);
            }
        }
    }
}
