package ringspindle.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which nodes and engines a soak runs, each at a loopback address of its own, and what its configuration allows. Runs beside
 * each other use other networks.
 *
 * @param network second octet of all addresses
 * @param dataNodesPerRegion how many data nodes each region has
 */
record SoakTopology(int network, int dataNodesPerRegion) {
    static final List<String> REGIONS = List.of("a", "b", "c");
    /** Two of the regions are homes. */
    static final Set<String> HOMES = Set.of("a", "b");

    static final String HOMED_HOST = "homed.example";
    static final String FREE_HOST = "free.example";
    static final int CONTROL_PORT = 18160;
    static final int REGISTRY_PORT = 18161;
    static final int FRONTEND_PORT = 18162;
    static final int READINESS_PORT = 18163;
    static final int ENGINE_PORT = 18164;
    static final int PEER_PORT = 17720;

    private static final int CONTROL_HOST = 1;
    private static final int ENGINE_HOST = 2;
    private static final int FIRST_DATA_HOST = 10;
    /** Added to a host for the address behind the relay. */
    private static final int BIND_HOSTS = 100;

    /** The program that a node runs. */
    enum Role {
        CONTROL_PLANE("control-plane"),
        DATA_PLANE("data-plane");

        private final String command;

        Role(String command) {
            this.command = command;
        }

        String command() {
            return command;
        }
    }

    /**
     * A node.
     *
     * @param ip its address for all, at which the relay listens for its peers
     * @param bindIp the address at which it listens for the relay
     */
    record Node(Role role, String name, String region, String ip, String bindIp) {
        /** Where its peers dial it. */
        int peerPort() {
            return role == Role.CONTROL_PLANE ? PEER_PORT : PEER_PORT + 1;
        }
    }

    List<Node> controlNodes() {
        return REGIONS.stream()
                .map(region -> node(Role.CONTROL_PLANE, "control-" + region, region, CONTROL_HOST))
                .toList();
    }

    List<Node> dataNodes() {
        List<Node> nodes = new ArrayList<>();
        for (String region : REGIONS) {
            for (int i = 0; i < dataNodesPerRegion; i++) {
                nodes.add(node(Role.DATA_PLANE, "data-" + region + i, region, FIRST_DATA_HOST + i));
            }
        }
        return nodes;
    }

    /** The address of the one engine of a region. */
    String engineIp(String region) {
        return ip(region, ENGINE_HOST);
    }

    private Node node(Role role, String name, String region, int host) {
        return new Node(role, name, region, ip(region, host), ip(region, host + BIND_HOSTS));
    }

    private String ip(String region, int host) {
        return "127." + network + "." + REGIONS.indexOf(region) + "." + host;
    }

    /** The regions of data nodes by the addresses that the directory names. */
    Map<String, String> regionOfFrontend() {
        return dataNodes().stream().collect(Collectors.toMap(node -> node.ip() + ":" + FRONTEND_PORT, Node::region));
    }

    /** True if a client may be led to a region, and its requests may be served there. */
    static boolean allowed(String host, String clientRegion, String region) {
        return region.equals(clientRegion) || !host.equals(HOMED_HOST) || HOMES.contains(region);
    }

    /** The configuration of a revision: fixed routes, and one that only this revision has. */
    static String configuration(long revision) {
        return "{\"revision\":" + revision + ",\"routes\":["
                + String.join(
                        ",",
                        route(HOMED_HOST, "card", "idempotent", "\"a\",\"b\""),
                        route(HOMED_HOST, "order", "mutating", "\"a\",\"b\""),
                        route(FREE_HOST, "card", "idempotent", ""),
                        route(FREE_HOST, "order", "mutating", ""),
                        route(FREE_HOST, "stream", "streaming", ""),
                        route(FREE_HOST, "only" + revision, "idempotent", ""))
                + "],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":200}]}";
    }

    private static String route(String host, String path, String kind, String homes) {
        return "{\"name\":\"" + host + "-" + path + "\",\"host\":\"" + host + "\",\"pathPrefix\":\"/" + path + "/\","
                + "\"routeKind\":\"" + kind + "\",\"deadlineMs\":3000,\"targetLatencyMs\":500,\"priority\":0,"
                + "\"service\":\"s\",\"maxAttempts\":2,\"homeRegions\":[" + homes + "]}";
    }
}
