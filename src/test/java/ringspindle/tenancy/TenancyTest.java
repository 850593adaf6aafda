package ringspindle.tenancy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import jakarta.json.JsonObject;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ringspindle.config.AllowedRegions;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;

/** Who asks, by key; and for how long what is known of keys may be gone by. */
class TenancyTest {
    private static final String TENANTS =
            "[{\"name\":\"kaje80\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1,\"ratePerS\":66,\"burstSize\":6,\"homeRegions\":[\"ahd\"]},"
                    + "{\"name\":\"vopu11\",\"apiKeys\":[\"k3\"]}]";

    private static Validated<FleetConfig> read(String tenants) {
        String json = "{\"revision\":3,\"routes\":["
                + "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/r/\",\"deadlineMs\":9,\"service\":\"s\",\"public\":false},"
                + "{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/p/\",\"deadlineMs\":9,\"service\":\"s\",\"public\":true}"
                + "],\"services\":[{\"name\":\"s\"}],\"tenants\":" + tenants + "}";
        return FleetConfig.read(json.getBytes(UTF_8));
    }

    private final FleetConfig config = ((Validated.Valid<FleetConfig>) read(TENANTS)).value();
    private final TenantTable table = TenantTable.of(config);

    private Identity identify(String path, boolean certain, String... authorization) {
        return table.identify(config.find("h", path), List.of(authorization), certain);
    }

    @Test
    void aKeyTellsItsTenant() {
        Identity.Known known = assertInstanceOf(Identity.Known.class, identify("/r/1", true, "Bearer k2"));
        assertEquals("kaje80", known.tenant().name());
        assertTrue(known.tenant().homes().allows("ahd"));
        assertFalse(known.tenant().homes().allows("srt"));
        Identity.Known other = assertInstanceOf(Identity.Known.class, identify("/r/1", true, "bearer   k3 "));
        assertEquals(AllowedRegions.ANY, other.tenant().homes());
        assertFalse(other.tenant().isLimited());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "k1",
                "Bearer",
                "Bearer ",
                "Basic k1",
                "Bearer k1 k2",
                "Bearer k4",
                "Bearer k1\u0000",
                "Bearer K1"
            })
    void whatIsNoKeyOfATenantIsUnknown(String authorization) {
        assertInstanceOf(Identity.Unknown.class, identify("/r/1", true, authorization));
    }

    @Test
    void noKeyAndTwoAreUnknownAndALongOneToo() {
        assertInstanceOf(Identity.Unknown.class, identify("/r/1", true));
        assertInstanceOf(Identity.Unknown.class, identify("/r/1", true, "Bearer k1", "Bearer k1"));
        assertInstanceOf(Identity.Unknown.class, identify("/r/1", true, "Bearer " + "k".repeat(600)));
    }

    @Test
    void aPublicRouteNeedsNoneAndTellsEnginesNoForeignName() {
        assertEquals(new Identity.Anyone(true), identify("/p/1", true));
        assertEquals(new Identity.Anyone(true), identify("/p/1", true, "Bearer k4"));
        assertEquals(new Identity.Anyone(true), identify("/p/1", false, "Bearer k1"));
        assertInstanceOf(Identity.Known.class, identify("/p/1", true, "Bearer k1"));
    }

    /** Guards against serving everybody, withdrawn keys among them, once the last key or tenant is taken away. */
    @ParameterizedTest
    @ValueSource(strings = {"[{\"name\":\"kaje80\",\"apiKeys\":[]},{\"name\":\"vopu11\"}]", "[]"})
    void withTheLastKeyTakenAwayKeysAreStillNeeded(String tenants) {
        FleetConfig without = ((Validated.Valid<FleetConfig>) read(tenants)).value();
        TenantTable emptied = TenantTable.of(without);
        List<String> withdrawn = List.of("Bearer k1");
        assertInstanceOf(Identity.Unknown.class, emptied.identify(without.find("h", "/r/1"), withdrawn, true));
        assertInstanceOf(Identity.Unknown.class, emptied.identify(without.find("h", "/r/1"), List.of(), true));
        assertInstanceOf(Identity.Uncertain.class, emptied.identify(without.find("h", "/r/1"), withdrawn, false));
        assertEquals(new Identity.Anyone(true), emptied.identify(without.find("h", "/p/1"), withdrawn, true));
    }

    /** Guards against the same over a patch, and against a patch that switches keys on where there are no tenants. */
    @Test
    void aPatchLeavesItAsItIsWhetherKeysAreNeeded() {
        JsonObject removal = json("{\"revision\":4,\"removals\":{\"tenants\":[\"kaje80\",\"vopu11\"]}}");
        FleetConfig emptied = ((Validated.Valid<FleetConfig>) config.patched(removal)).value();
        FleetConfig open = ((Validated.Valid<FleetConfig>) FleetConfig.check(json("{\"revision\":3,\"routes\":["
                        + "{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/r/\",\"deadlineMs\":9,\"service\":\"s\"}"
                        + "],\"services\":[{\"name\":\"s\"}]}")))
                .value();
        JsonObject nothing = json("{\"revision\":4,\"upserts\":{\"tenants\":[]},\"removals\":{\"tenants\":[]}}");
        FleetConfig patched = ((Validated.Valid<FleetConfig>) open.patched(nothing)).value();
        List<String> key = List.of("Bearer k1");
        assertInstanceOf(
                Identity.Unknown.class, TenantTable.of(emptied).identify(emptied.find("h", "/r/1"), key, true));
        assertEquals(
                new Identity.Anyone(false), TenantTable.of(patched).identify(patched.find("h", "/r/1"), key, false));
    }

    private static JsonObject json(String text) {
        return ((Validated.Valid<JsonObject>) FleetConfig.json(text.getBytes(UTF_8))).value();
    }

    @Test
    void whatMayBeOldIsSaidNeitherYesNorNoTo() {
        assertInstanceOf(Identity.Uncertain.class, identify("/r/1", false, "Bearer k1"));
        assertInstanceOf(Identity.Uncertain.class, identify("/r/1", false, "Bearer k4"));
    }

    @Test
    void aKeyOfTwoTenantsIsAnErrorThatNamesThemAndNotTheKey() {
        Validated<FleetConfig> read =
                read("[{\"name\":\"a\",\"apiKeys\":[\"secret\"]},{\"name\":\"b\",\"apiKeys\":[\"secret\"]}]");
        String text = ((Validated.Invalid<FleetConfig>) read).errors().get(0).text();
        assertTrue(text.contains("tenants a and b"), text);
        assertFalse(text.contains("secret"), text);
    }

    /** A lease counts from when the heartbeat was sent: a late answer, or a pause, makes it no longer. */
    @Test
    void aLeaseRunsOutBeforeAWithdrawnKeyMustBeDead() {
        KeyLease lease = new KeyLease(5000);
        assertFalse(lease.isValid(0));
        lease.prove(10_000);
        assertTrue(lease.isValid(13_300));
        assertFalse(lease.isValid(13_301));
        lease.prove(9_000);
        assertTrue(lease.isValid(13_300), "an older proof takes nothing away");
        // the control node's own proof may be 1.5 s old: a removal at 8.5 s was known, one after it is not yet 5 s old
        assertTrue(13_300 - (10_000 - 1500) < 5000);
        assertTrue(new KeyLease(0).isValid(0), "where nothing has to be revoked in time");
    }
}
