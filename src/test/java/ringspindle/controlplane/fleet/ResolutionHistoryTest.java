package ringspindle.controlplane.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
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

/**
 * Seeded random histories of maintenance and partitions as one control node sees them: data nodes leave, stop and
 * return in overlapping series, this node restarts without state, loses and regains the majority, and the configuration
 * changes. In every state, a client is only directed to data nodes in its own region or in a home region of every route
 * of the host that has home regions.
 */
class ResolutionHistoryTest {
    private static final int HISTORIES = 300;
    private static final int STEPS = 120;
    private static final int NODES_PER_REGION = 2;
    private static final List<String> REGIONS = List.of("a", "b", "c");
    private static final NodeId SELF = NodeId.of("10.0.0.1:7000");
    private static final NodeId OTHER = NodeId.of("10.0.0.2:7000");
    /** Home regions of each host's routes; each host also has a route without home regions. */
    private static final Map<String, List<Set<String>>> HOMES_OF = Map.of(
            "one.example", List.of(Set.of("a")),
            "two.example", List.of(Set.of("a", "b")),
            "cross.example", List.of(Set.of("a", "b"), Set.of("b", "c")),
            "none.example", List.of(Set.of("a"), Set.of("b")),
            "free.example", List.of());

    /** Flags that data nodes report. */
    private static final List<NodeFlags> FLAGS =
            List.of(NodeFlags.READY, NodeFlags.NONE, NodeFlags.LEAVING, NodeFlags.LEAVING.and(NodeFlags.STILL_SERVING));

    private final List<String> violations = new ArrayList<>();

    /** One control node and its state; a restart replaces it by a new one. */
    private static final class Node {
        private final SessionTable sessions = SessionTable.forControl(SELF, 0);
        private final FleetFacts facts;
        private final DataNodeDirectory directory;
        private final FrontendResolver resolver;
        private final HomeRegions homes;
        private final long[] clock;

        Node(long[] clock) {
            this.clock = clock;
            facts = new FleetFacts(ControlNodeSettings.create(), () -> clock[0]);
            directory = new DataNodeDirectory(SELF, sessions, facts);
            resolver = new FrontendResolver(directory);
            homes = new HomeRegions(facts.store());
            sessions.opened(new Hello(OTHER, 1, NodeKind.CONTROL, 0, "o", "zb", "b"), clock[0]);
        }

        void receiveHeartbeat(NodeId peer, NodeFlags flags, long number) {
            Heartbeat sent = sessions.nextHeartbeat(peer, NodeFlags.NONE, 0, 0, 0, clock[0]);
            if (sent != null) {
                sessions.received(peer, new Heartbeat(number, sent.n(), flags, 0, 0, 0, List.of(SELF)), clock[0]);
            }
        }

        void advance() {
            sessions.advance(clock[0]);
            directory.tick(clock[0]);
        }
    }

    private static Hello dataNode(int number) {
        String region = REGIONS.get(number % REGIONS.size());
        NodeId node = NodeId.of("10.1.0." + number + ":7000");
        long front = NodeId.of("10.1.0." + number + ":80").bits();
        return new Hello(node, 1, NodeKind.DATA, front, "d" + number, "z" + region, region);
    }

    private static Fact fact(Hello hello, NodeFlags flags, NodeId via, long version) {
        return new Fact(
                FactKind.NODE, hello.node().toString(), 1, version, new DataNodeFact(flags, via, hello).value());
    }

    private static Fact configuration(long revision) {
        List<String> routes = new ArrayList<>();
        HOMES_OF.forEach((host, homes) -> {
            routes.add(route(host, "free", Set.of()));
            for (int i = 0; i < homes.size(); i++) {
                routes.add(route(host, "r" + i, homes.get(i)));
            }
        });
        String json = "{\"revision\":" + revision + ",\"routes\":[" + String.join(",", routes)
                + "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/h\",\"maxConnections\":9,\"warmupS\":0,"
                + "\"warmupPerS\":0}]}";
        FleetConfig config = ((Validated.Valid<FleetConfig>) FleetConfig.read(json.getBytes(UTF_8))).value();
        return new Fact(FactKind.CONFIG, "", 0, revision, config.packed());
    }

    private static String route(String host, String path, Set<String> homes) {
        String regions = homes.isEmpty() ? "" : "\"" + String.join("\",\"", homes) + "\"";
        return "{\"name\":\"" + host + path + "\",\"host\":\"" + host + "\",\"pathPrefix\":\"/" + path + "/\","
                + "\"routeKind\":\"streaming\",\"deadlineMs\":1000,\"targetLatencyMs\":100,\"priority\":0,"
                + "\"service\":\"s\",\"maxAttempts\":1,\"homeRegions\":[" + regions + "]}";
    }

    private void run(long seed) {
        Random random = new Random(seed);
        long[] clock = {1_000_000};
        Node node = new Node(clock);
        long version = 0;
        boolean majorityReachable = true;
        for (int step = 0; step < STEPS; step++) {
            clock[0] += random.nextInt(800);
            version++;
            Hello hello = dataNode(1 + random.nextInt(NODES_PER_REGION * REGIONS.size()));
            NodeFlags flags = FLAGS.get(random.nextInt(FLAGS.size()));
            switch (random.nextInt(8)) {
                case 0 -> node = new Node(clock);
                case 1 -> majorityReachable = !majorityReachable;
                case 2 -> node.facts.merge(List.of(configuration(version)));
                case 3 -> {
                    node.sessions.opened(hello, clock[0]);
                    node.receiveHeartbeat(hello.node(), flags, version);
                    node.facts.merge(List.of(fact(hello, flags, SELF, version)));
                }
                default -> node.facts.merge(List.of(fact(hello, flags, OTHER, version)));
            }
            if (random.nextBoolean()) {
                node.receiveHeartbeat(OTHER, NodeFlags.NONE, version);
            }
            node.advance();
            check(node, majorityReachable, "seed " + seed + " step " + step);
        }
    }

    private void check(Node node, boolean majorityReachable, String location) {
        Map<String, String> regionOf = new HashMap<>();
        for (int number = 1; number <= NODES_PER_REGION * REGIONS.size(); number++) {
            regionOf.put(
                    new NodeId(dataNode(number).front()).toString(),
                    dataNode(number).region());
        }
        for (String host : HOMES_OF.keySet()) {
            for (String region : REGIONS) {
                Resolution resolution = node.resolver.resolve(
                        region, "z" + region, () -> node.homes.of(host), majorityReachable, node.clock[0]);
                for (String address : resolution.addresses()) {
                    if (!allowed(host, region, regionOf.get(address))) {
                        violations.add(location + ": a client in " + region + " asking for " + host + " is directed to "
                                + regionOf.get(address) + ", " + resolution.scope());
                    }
                }
            }
        }
    }

    private static boolean allowed(String host, String client, String region) {
        return client.equals(region) || HOMES_OF.get(host).stream().allMatch(homes -> homes.contains(region));
    }

    @Test
    void clientsAreDirectedOnlyToTheirOwnRegionOrToHomeRegions() {
        for (long seed = 1; seed <= HISTORIES; seed++) {
            run(seed);
        }
        assertEquals(List.of(), violations.stream().limit(5).toList(), violations.size() + " in all");
    }
}
