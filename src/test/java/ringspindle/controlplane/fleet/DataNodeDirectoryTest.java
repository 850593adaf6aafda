package ringspindle.controlplane.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import ringspindle.config.AllowedRegions;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated;
import ringspindle.controlplane.ControlNodeSettings;
import ringspindle.membership.DataNodeFact;
import ringspindle.membership.SessionTable;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Heartbeat;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeFlags;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;

/** Clients are directed to ready data nodes near them, and to another region only if the host may be served there. */
class DataNodeDirectoryTest {
    private static final NodeId SELF = NodeId.of("10.0.0.1:7000");
    private static final NodeId OTHER = NodeId.of("10.0.0.2:7000");
    private static final Set<String> NO_HOMES = Set.of();
    private static final long LONG_AGO_MS = 60_000;

    private final Map<String, Long> versions = new HashMap<>();
    private SessionTable sessions;
    private FleetFacts facts;
    private DataNodeDirectory directory;
    private FrontendResolver resolver;
    private long nowMs = 1_000_000;

    @BeforeEach
    void create() {
        sessions = SessionTable.forControl(SELF, 0);
        facts = new FleetFacts(ControlNodeSettings.create(), () -> nowMs);
        directory = new DataNodeDirectory(SELF, sessions, facts);
        resolver = new FrontendResolver(directory);
    }

    /**
     * Merges the fact of a data node as the given control node publishes it; the node's address ends with its number.
     */
    private void dataNode(int number, String region, boolean ready, NodeId via) {
        dataNode(number, region, ready ? NodeFlags.READY : NodeFlags.NONE, via);
    }

    private void dataNode(int number, String region, NodeFlags flags, NodeId via) {
        NodeId node = NodeId.of("10.1.0." + number + ":7000");
        Hello hello = new Hello(
                node, 1, NodeKind.DATA, NodeId.of("10.1.0." + number + ":80").bits(), "d", "z" + region, region);
        long version = versions.merge(node.toString(), 1L, Long::sum);
        facts.merge(List.of(
                new Fact(FactKind.NODE, node.toString(), 1, version, new DataNodeFact(flags, via, hello).value())));
    }

    private List<String> addresses(String region, Set<String> homes) {
        return resolver.resolve(region, "z" + region, () -> allowed(homes), true, nowMs)
                .addresses();
    }

    private static AllowedRegions allowed(Set<String> homes) {
        return homes.isEmpty() ? AllowedRegions.ANY : new AllowedRegions.Only(homes);
    }

    private static String address(int number) {
        return "10.1.0." + number + ":80";
    }

    /** The other control node answers a heartbeat, so that both nodes are connected. */
    private void receiveHeartbeatFromOther(long number) {
        Heartbeat sent = sessions.nextHeartbeat(OTHER, NodeFlags.NONE, 0, 0, 0, nowMs);
        sessions.received(OTHER, new Heartbeat(number, sent.n(), NodeFlags.NONE, 0, 0, 0, List.of(SELF)), nowMs);
        sessions.advance(nowMs);
        directory.tick(nowMs);
    }

    @Test
    void clientOfARegionWithoutNodesIsDirectedToAHomeRegion() {
        dataNode(1, "a", true, OTHER);
        dataNode(2, "b", false, OTHER);
        dataNode(3, "c", true, OTHER);
        assertEquals(List.of(address(1)), addresses("b", Set.of("a", "b")));
        assertEquals(List.of(address(3)), addresses("c", Set.of("a", "b")));
        assertEquals(Set.of(address(1), address(3)), Set.copyOf(addresses("b", NO_HOMES)));
    }

    @Test
    void noNodeIsReturnedIfNeitherTheClientsRegionNorAHomeRegionHasOne() {
        dataNode(1, "a", false, OTHER);
        dataNode(2, "b", false, OTHER);
        dataNode(3, "c", true, OTHER);
        assertEquals(List.of(), addresses("b", Set.of("a", "b")));
        assertEquals(List.of(address(3)), addresses("c", Set.of("a", "b")), "its own region is always allowed");
        assertEquals(List.of(address(3)), addresses("b", NO_HOMES));
    }

    @Test
    void whileAllNodesShutDownTheLastServingOneInAnAllowedRegionIsReturned() {
        NodeFlags leaving = NodeFlags.LEAVING.and(NodeFlags.STILL_SERVING);
        dataNode(1, "a", leaving, OTHER);
        dataNode(2, "a", leaving, OTHER);
        dataNode(3, "a", NodeFlags.LEAVING, OTHER);
        dataNode(4, "c", leaving, OTHER);
        assertEquals(List.of(address(2)), addresses("a", Set.of("a", "b")));
        assertEquals(List.of(address(2)), addresses("b", Set.of("a", "b")));
        assertEquals(List.of(address(4)), addresses("c", Set.of("a", "b")), "its own region is always allowed");
        assertEquals(List.of(), addresses("b", NO_HOMES), "no last resort in another region");
        dataNode(5, "b", true, OTHER);
        assertEquals(List.of(address(5)), addresses("a", Set.of("a", "b")), "a node that stays is preferred");
    }

    @Test
    void unknownHostIsServedInTheClientsRegionOnly() {
        dataNode(1, "a", true, OTHER);
        assertEquals(Resolution.NOWHERE, resolver.resolve("b", "zb", () -> AllowedRegions.UNKNOWN, true, nowMs));
        assertEquals(
                List.of(address(1)),
                resolver.resolve("a", "za", () -> AllowedRegions.UNKNOWN, true, nowMs)
                        .addresses());
    }

    @Test
    void hostWhoseRoutesHaveNoCommonHomeRegionIsServedInTheClientsRegionOnly() {
        dataNode(1, "a", true, OTHER);
        AllowedRegions none = new AllowedRegions.Only(Set.of());
        assertEquals(Resolution.NOWHERE, resolver.resolve("b", "zb", () -> none, true, nowMs));
    }

    @Test
    void isolatedNodeDirectsNoClientOfAnotherRegionToItsOwn() {
        addDataNodesInBothRegions();
        assertEquals(List.of(), addressesWhileIsolated("a", Set.of("a")));
        assertEquals(List.of(), addressesWhileIsolated("a", NO_HOMES), "the known home regions may be stale");
    }

    @Test
    void nodesOfALostControlNodeExpireHoweverLateTheFirstResolutionComes() {
        sessions.opened(new Hello(OTHER, 1, NodeKind.CONTROL, 0, "o", "zb", "b"), nowMs);
        dataNode(2, "b", true, OTHER);
        for (int number = 1; number < 50; number++) {
            nowMs += 100;
            receiveHeartbeatFromOther(number);
        }
        assertEquals(List.of(address(2)), addresses("b", NO_HOMES));
        nowMs += LONG_AGO_MS;
        sessions.advance(nowMs);
        directory.tick(nowMs);
        assertEquals(List.of(), addresses("b", NO_HOMES));
    }

    private List<String> addressesWhileIsolated(String region, Set<String> homes) {
        return resolver.resolve(region, "z" + region, () -> allowed(homes), false, nowMs)
                .addresses();
    }

    /** Adds a data node of region b with a session here, and one of region a that the other control node publishes. */
    private void addDataNodesInBothRegions() {
        NodeId node = NodeId.of("10.1.0.2:7000");
        Hello hello = new Hello(node, 1, NodeKind.DATA, NodeId.of(address(2)).bits(), "d", "zb", "b");
        sessions.opened(new Hello(OTHER, 1, NodeKind.CONTROL, 0, "o", "za", "a"), nowMs);
        sessions.opened(hello, nowMs);
        dataNode(1, "a", true, OTHER);
        dataNode(2, "b", true, SELF);
        receiveHeartbeatFromOther(1);
        receiveHeartbeat(node, 1);
    }

    private void receiveHeartbeat(NodeId node, long number) {
        Heartbeat sent = sessions.nextHeartbeat(node, NodeFlags.NONE, 0, 0, 0, nowMs);
        sessions.received(node, new Heartbeat(number, sent.n(), NodeFlags.READY, 0, 0, 0, List.of()), nowMs);
    }

    @Test
    void clientOfAnIsolatedRegionIsDirectedToTheHomeRegionsOfItsHost() {
        addDataNodesInBothRegions();
        assertEquals(
                List.of(address(2)),
                addresses("b", Set.of("a")),
                "while a majority is reachable, the nodes of the client's region");
        assertEquals(List.of(address(1)), addressesWhileIsolated("b", Set.of("a")));
        assertEquals(List.of(address(2)), addressesWhileIsolated("b", Set.of("a", "b")), "its own region is a home");
        assertEquals(List.of(address(2)), addressesWhileIsolated("b", NO_HOMES));
    }

    @Test
    void factsOfOtherRegionsExpireWhileIsolated() {
        addDataNodesInBothRegions();
        nowMs += 14_000;
        receiveHeartbeat(NodeId.of("10.1.0.2:7000"), 2);
        assertEquals(List.of(address(1)), addressesWhileIsolated("b", Set.of("a")));
        nowMs += 2_000;
        receiveHeartbeat(NodeId.of("10.1.0.2:7000"), 3);
        assertEquals(List.of(address(2)), addressesWhileIsolated("b", Set.of("a")));
    }

    @Test
    void dataNodeThatMovedToAnotherControlNodeStaysReadyWhenItsOldSessionCloses() {
        addDataNodesInBothRegions();
        dataNode(2, "b", true, OTHER);
        directory.onSessionClosed(sessions.peer(NodeId.of("10.1.0.2:7000")));
        assertEquals(List.of(address(2)), addresses("b", NO_HOMES));
    }

    @Test
    void dataNodeWithoutAnotherSessionIsGoneWhenItsSessionCloses() {
        addDataNodesInBothRegions();
        directory.onSessionClosed(sessions.peer(NodeId.of("10.1.0.2:7000")));
        assertEquals(
                List.of(),
                addresses("b", Set.of("b")).stream().filter(address(2)::equals).toList());
    }

    @Test
    void homeRegionsOfAHostAreThoseThatAllItsRoutesShare() {
        String route = "{\"name\":\"%s\",\"host\":\"h.example\",\"pathPrefix\":\"/%s/\",\"routeKind\":\"streaming\","
                + "\"deadlineMs\":1000,\"targetLatencyMs\":100,\"priority\":0,\"service\":\"s\",\"maxAttempts\":1,"
                + "\"homeRegions\":[%s]}";
        String json = "{\"revision\":3,\"routes\":[" + route.formatted("one", "one", "\"a\",\"b\"") + ","
                + route.formatted("two", "two", "\"b\",\"c\"") + "," + route.formatted("any", "any", "")
                + "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/h\",\"maxConnections\":9,\"warmupS\":0,"
                + "\"warmupPerS\":0}]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        HomeRegions homes = new HomeRegions(facts.store());
        assertEquals(AllowedRegions.UNKNOWN, homes.of("h.example"), "no configuration yet");
        facts.merge(List.of(new Fact(FactKind.CONFIG, "", 0, 3, config.packed())));
        assertEquals(new AllowedRegions.Only(Set.of("b")), homes.of("H.example:8161"));
        assertEquals(AllowedRegions.UNKNOWN, homes.of("other.example"));
    }
}
