package ringspindle.config;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Properties;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.config.Validated.Invalid;
import ringspindle.config.Validated.Valid;

/** Settings and configurations: good ones, and every bad kind with its problem. */
class FleetConfigTest {
    static final String SERVICE =
            "{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":10,\"warmupS\":3.0,\"warmupPerS\":21.0}";

    static String mapping(String name, String prefix, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"" + prefix
                + "\",\"routeKind\":\"idempotent\"," + "\"deadlineMs\":1000,\"service\":\"s\"" + more + "}";
    }

    static String whole(long revision, String... mappings) {
        return "{\"revision\":" + revision + ",\"routes\":[" + String.join(",", mappings) + "],\"services\":[" + SERVICE
                + "]}";
    }

    private static FleetConfig good(String json) {
        Validated<FleetConfig> c = FleetConfig.read(json.getBytes(UTF_8));
        assertInstanceOf(
                Valid.class, c, () -> ((Invalid<FleetConfig>) c).errors().toString());
        return ((Valid<FleetConfig>) c).value();
    }

    private static ConfigError bad(String json) {
        Validated<FleetConfig> c = FleetConfig.read(json.getBytes(UTF_8));
        assertInstanceOf(Invalid.class, c, json);
        return ((Invalid<FleetConfig>) c).errors().get(0);
    }

    private static Validated<FleetConfig> patched(FleetConfig c, String patch) {
        return c.patched(((Valid<jakarta.json.JsonObject>) FleetConfig.json(patch.getBytes(UTF_8))).value());
    }

    @Test
    void longestPrefixWins() {
        FleetConfig c = good(whole(1, mapping("a", "/x/", ""), mapping("b", "/x/y/", "")));
        assertEquals("a", c.find("h.example", "/x/z").name());
        assertEquals("b", c.find("H.example", "/x/y/z").name());
        assertEquals("b", c.find("h.example:8161", "/x/y/z").name());
        assertNull(c.find("other.example", "/x/y/z"));
        assertNull(c.find("h.example", "/"));
        assertNull(c.find(null, "/x/"));
    }

    @Test
    void eachBadConfigurationHasItsProblem() {
        assertInstanceOf(ConfigError.Unreadable.class, bad("{\"revision\":3,\"routes\":["));
        assertInstanceOf(
                ConfigError.Unreadable.class, bad("{\"revision\":3,\"revision\":4,\"routes\":[],\"services\":[]}"));
        assertInstanceOf(ConfigError.Unreadable.class, bad("[]"));
        assertInstanceOf(ConfigError.Missing.class, bad("{\"routes\":[],\"services\":[]}"));
        assertInstanceOf(
                ConfigError.UnknownService.class,
                bad(whole(1, mapping("a", "/x/", "").replace("\"service\":\"s\"", "\"service\":\"t\""))));
        assertInstanceOf(
                ConfigError.DuplicateRoute.class, bad(whole(1, mapping("a", "/x/", ""), mapping("b", "/x/", ""))));
        assertInstanceOf(ConfigError.SameName.class, bad(whole(1, mapping("a", "/x/", ""), mapping("a", "/y/", ""))));
        assertInstanceOf(
                ConfigError.NoWeight.class,
                bad(whole(1, mapping("a", "/x/", ",\"weightedTargets\":[{\"service\":\"s\",\"weight\":0}]"))));
        assertInstanceOf(
                ConfigError.NoDeadline.class,
                bad(whole(1, mapping("a", "/x/", "").replace("\"deadlineMs\":1000", "\"deadlineMs\":0"))));
        assertInstanceOf(ConfigError.Unreadable.class, bad(whole(1, "{\"name\":7}")));
        assertInstanceOf(ConfigError.Unreadable.class, bad("{\"revision\":1,\"routes\":{},\"services\":[]}"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"\"a\"", "{}", "7", "null", "[\"a\",7]", "[[\"a\"]]"})
    void homesThatCannotBeReadAreRefusedAndNotTakenForNone(String homes) {
        String route = mapping("a", "/x/", ",\"homeRegions\":" + homes);
        assertInstanceOf(ConfigError.InvalidValue.class, bad(whole(1, route)));
    }

    @Test
    void patchWithUnknownFieldsIsRefusedWithTheirNames() {
        FleetConfig c = ((Valid<FleetConfig>)
                        FleetConfig.read("{\"revision\":3,\"routes\":[],\"services\":[]}".getBytes(UTF_8)))
                .value();
        Invalid<FleetConfig> refused = assertInstanceOf(
                Invalid.class, patched(c, "{\"revision\":4,\"routes\":[],\"upserts\":{},\"removal\":{}}"));
        assertEquals(
                List.of("the document has the unknown field routes", "the document has the unknown field removal"),
                refused.errors().stream().map(ConfigError::text).toList());
    }

    @Test
    void patchesAddReplaceAndRemoveByName() {
        FleetConfig c = good(whole(1, mapping("a", "/x/", ""), mapping("b", "/y/", "")));
        FleetConfig next = ((Valid<FleetConfig>) patched(
                        c,
                        "{\"revision\":4,\"upserts\":{\"routes\":[" + mapping("b", "/z/", "") + ","
                                + mapping("c", "/w/", "") + "]},\"removals\":{\"routes\":[\"a\"]}}"))
                .value();
        assertEquals(4, next.revision());
        assertNull(next.find("h.example", "/x/1"));
        assertNull(next.find("h.example", "/y/1"));
        assertEquals("b", next.find("h.example", "/z/1").name());
        assertEquals("c", next.find("h.example", "/w/1").name());
        assertEquals(
                next.source(),
                good(new String(FleetConfig.unpack(next.packed()), UTF_8)).source());
        assertInstanceOf(Invalid.class, patched(c, "{\"revision\":4,\"removals\":{\"services\":[\"s\"]}}"));
    }

    @Test
    void settingsNameWhatIsMissingOrBad() {
        Properties p = new Properties();
        p.putAll(Map.of(
                "node.name",
                "n",
                "node.ip",
                "10.0.0.300",
                "node.zone",
                "z",
                "listen.inner",
                "x",
                "seeds",
                "10.0.0.1:0,10.0.0.2:80",
                "listen.frontend",
                "nonsense",
                "bound.graceS",
                "-3",
                "some.field",
                "unknown"));
        String all = ((Invalid<NodeConfig>) NodeConfig.check(p)).errors().toString();
        for (String key :
                List.of("node.region", "node.ip", "listen.inner", "seeds", "listen.frontend", "bound.graceS")) {
            assertTrue(all.contains(key), key + " is not named in " + all);
        }
        assertFalse(all.contains("some.field"));
    }

    @Test
    void portsThatAreOnlyACommaAreAnErrorLikeAnyOther() {
        java.util.Properties properties = new java.util.Properties();
        properties.setProperty("listen.inner", ",");
        String errors =
                ((Invalid<NodeConfig>) NodeConfig.check(properties)).errors().toString();
        assertTrue(errors.contains("listen.inner"), errors);
    }
}
