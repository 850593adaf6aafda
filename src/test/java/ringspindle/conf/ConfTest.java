package ringspindle.conf;

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
import ringspindle.conf.Checked.Good;
import ringspindle.conf.Checked.Refused;

/** Settings and configurations: good ones, and every bad kind with its problem. */
class ConfTest {
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
        Checked<FleetConfig> c = FleetConfig.read(json.getBytes(UTF_8));
        assertInstanceOf(
                Good.class, c, () -> ((Refused<FleetConfig>) c).problems().toString());
        return ((Good<FleetConfig>) c).value();
    }

    private static Problem bad(String json) {
        Checked<FleetConfig> c = FleetConfig.read(json.getBytes(UTF_8));
        assertInstanceOf(Refused.class, c, json);
        return ((Refused<FleetConfig>) c).problems().get(0);
    }

    private static Checked<FleetConfig> patched(FleetConfig c, String patch) {
        return c.patched(((Good<jakarta.json.JsonObject>) FleetConfig.json(patch.getBytes(UTF_8))).value());
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
        assertInstanceOf(Problem.Unreadable.class, bad("{\"revision\":3,\"routes\":["));
        assertInstanceOf(
                Problem.Unreadable.class, bad("{\"revision\":3,\"revision\":4,\"routes\":[],\"services\":[]}"));
        assertInstanceOf(Problem.Unreadable.class, bad("[]"));
        assertInstanceOf(Problem.Missing.class, bad("{\"routes\":[],\"services\":[]}"));
        assertInstanceOf(
                Problem.UnknownService.class,
                bad(whole(1, mapping("a", "/x/", "").replace("\"service\":\"s\"", "\"service\":\"t\""))));
        assertInstanceOf(Problem.SamePlace.class, bad(whole(1, mapping("a", "/x/", ""), mapping("b", "/x/", ""))));
        assertInstanceOf(Problem.SameName.class, bad(whole(1, mapping("a", "/x/", ""), mapping("a", "/y/", ""))));
        assertInstanceOf(
                Problem.NoWeight.class,
                bad(whole(1, mapping("a", "/x/", ",\"weightedTargets\":[{\"service\":\"s\",\"weight\":0}]"))));
        assertInstanceOf(
                Problem.NoDeadline.class,
                bad(whole(1, mapping("a", "/x/", "").replace("\"deadlineMs\":1000", "\"deadlineMs\":0"))));
        assertInstanceOf(Problem.Unreadable.class, bad(whole(1, "{\"name\":7}")));
        assertInstanceOf(Problem.Unreadable.class, bad("{\"revision\":1,\"routes\":{},\"services\":[]}"));
    }

    @Test
    void patchesAddReplaceAndRemoveByName() {
        FleetConfig c = good(whole(1, mapping("a", "/x/", ""), mapping("b", "/y/", "")));
        FleetConfig next = ((Good<FleetConfig>) patched(
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
        assertInstanceOf(Refused.class, patched(c, "{\"revision\":4,\"removals\":{\"services\":[\"s\"]}}"));
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
        String all = ((Refused<NodeConfig>) NodeConfig.check(p)).problems().toString();
        for (String key :
                List.of("node.region", "node.ip", "listen.inner", "seeds", "listen.frontend", "bound.graceS")) {
            assertTrue(all.contains(key), key + " is not named in " + all);
        }
        assertFalse(all.contains("some.field"));
    }
}
