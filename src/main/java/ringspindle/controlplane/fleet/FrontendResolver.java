package ringspindle.controlplane.fleet;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import ringspindle.config.AllowedRegions;
import ringspindle.controlplane.fleet.Resolution.Scope;
import ringspindle.membership.LastServing;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;

/**
 * Selects the data nodes that a client is directed to. A client is directed out of its own region only to regions that
 * are known to be allowed for every request of its host, because the selected node receives the bodies of its requests.
 * Without state; guarded by the owner of the directory.
 */
public final class FrontendResolver {
    private static final int MAX_ADDRESSES = 64;

    private final DataNodeDirectory dataNodes;

    FrontendResolver(DataNodeDirectory dataNodes) {
        this.dataNodes = dataNodes;
    }

    /**
     * Selects data nodes that accept requests: those in the client's zone, else in its region, else in the regions that
     * are known to be allowed, else the one that serves longest of those that are shutting down. If this node is
     * isolated from the majority, its region probably is too: a client whose requests must be served in other regions
     * is then directed there, because nodes here could only reject them.
     *
     * @param allowed the regions that may serve the host; only evaluated if needed
     * @param majorityReachable whether this node reaches a majority. Without one, only data nodes with a session here
     *     count as near the client, because facts from other control nodes may be stale. The configuration may be stale
     *     too: it still directs clients to home regions, but no client of a host without home regions to another region
     */
    public Resolution resolve(
            String region, String zone, Supplier<AllowedRegions> allowed, boolean majorityReachable, long nowMs) {
        if (!majorityReachable) {
            List<String> inHomes = homeAddresses(region, allowed.get(), nowMs);
            if (!inHomes.isEmpty()) {
                return new Resolution(Scope.HOMES, inHomes);
            }
        }
        List<Hello> ready = dataNodes.ready(majorityReachable, nowMs);
        List<String> nearest = addressesWhere(ready, node -> node.zone().equals(zone));
        if (!nearest.isEmpty()) {
            return new Resolution(Scope.ZONE, nearest);
        }
        nearest = addressesWhere(ready, node -> node.region().equals(region));
        if (!nearest.isEmpty()) {
            return new Resolution(Scope.REGION, nearest);
        }
        AllowedRegions regions = allowed.get();
        Resolution remote = resolveRemote(ready, regions, majorityReachable);
        return remote.addresses().isEmpty() ? lastServing(region, regions, majorityReachable, nowMs) : remote;
    }

    /**
     * The last resort: of the data nodes that are shutting down in the client's region, else in a home region, the one
     * that continues to accept requests the longest.
     */
    private Resolution lastServing(String region, AllowedRegions allowed, boolean majorityReachable, long nowMs) {
        List<Hello> leaving = dataNodes.leaving(majorityReachable, nowMs);
        List<String> last = lastServingAddresses(leaving, node -> node.region().equals(region));
        if (last.isEmpty() && allowed instanceof AllowedRegions.Only) {
            last = lastServingAddresses(leaving, node -> allowed.allows(node.region()));
        }
        return last.isEmpty() ? Resolution.NOWHERE : new Resolution(Scope.LEAVING, last);
    }

    private static List<String> lastServingAddresses(List<Hello> leaving, Predicate<Hello> filter) {
        List<NodeId> nodes = leaving.stream().filter(filter).map(Hello::node).toList();
        return LastServing.of(nodes)
                .map(last -> addressesWhere(leaving, node -> node.node().equals(last)))
                .orElse(List.of());
    }

    /** Selects data nodes in other regions than the client's. */
    private static Resolution resolveRemote(List<Hello> ready, AllowedRegions allowed, boolean majorityReachable) {
        Scope scope = allowed instanceof AllowedRegions.Only ? Scope.HOMES : Scope.ANYWHERE;
        if (scope == Scope.ANYWHERE && !majorityReachable) {
            return Resolution.NOWHERE;
        }
        List<String> addresses = addressesWhere(ready, node -> allowed.allows(node.region()));
        return addresses.isEmpty() ? Resolution.NOWHERE : new Resolution(scope, addresses);
    }

    /** Data nodes last known in the home regions; none if the client's region is one of these, or if there are none. */
    private List<String> homeAddresses(String region, AllowedRegions allowed, long nowMs) {
        if (!(allowed instanceof AllowedRegions.Only) || allowed.allows(region)) {
            return List.of();
        }
        return addressesWhere(dataNodes.lastKnownReady(nowMs), node -> allowed.allows(node.region()));
    }

    private static List<String> addressesWhere(List<Hello> nodes, Predicate<Hello> filter) {
        return nodes.stream()
                .filter(filter)
                .limit(MAX_ADDRESSES)
                .map(node -> new NodeId(node.front()).toString())
                .toList();
    }
}
