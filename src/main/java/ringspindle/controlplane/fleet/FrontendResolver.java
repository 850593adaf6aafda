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
 * Selects the data nodes that a client is told to go to. A client is led out of its own region only where every request of
 * the host that it asks for is known to be allowed: the node that it is led to gets the bodies of its requests. Without state;
 * guarded by the owner of the directory.
 */
public final class FrontendResolver {
    private static final int ADDRESSES_MAX = 64;

    private final DataNodeDirectory dataNodes;

    FrontendResolver(DataNodeDirectory dataNodes) {
        this.dataNodes = dataNodes;
    }

    /**
     * Data nodes that take requests: those of the client's zone, else of its region, else of the regions that are known to
     * be allowed, else the last of those that are shutting down. If this node is cut off from the majority, its region probably is: a client whose requests have to be
     * served in other regions is then sent to these, as nodes here could only refuse them.
     *
     * @param allowed where the host may be served; asked for only where it matters
     * @param inTouch without a majority only those count near the client that this node itself is in touch with: what others
     *     told may be old. What is known of the configuration may be old too, so that clients are led to homes by it, and
     *     nowhere for want of homes
     */
    public Resolution resolve(
            String region, String zone, Supplier<AllowedRegions> allowed, boolean inTouch, long nowMs) {
        if (!inTouch) {
            List<String> atHome = addressesAtHome(region, allowed.get(), nowMs);
            if (!atHome.isEmpty()) {
                return new Resolution(Scope.HOMES, atHome);
            }
        }
        List<Hello> ready = dataNodes.ready(inTouch, nowMs);
        List<String> nearest = addressesWhere(ready, node -> node.zone().equals(zone));
        if (!nearest.isEmpty()) {
            return new Resolution(Scope.ZONE, nearest);
        }
        nearest = addressesWhere(ready, node -> node.region().equals(region));
        if (!nearest.isEmpty()) {
            return new Resolution(Scope.REGION, nearest);
        }
        AllowedRegions regions = allowed.get();
        Resolution abroad = abroad(ready, regions, inTouch);
        return abroad.addresses().isEmpty() ? lastServing(region, regions, inTouch, nowMs) : abroad;
    }

    /**
     * Where nobody else can be named: of the data nodes that are shutting down in the client's region, else in a home, the one
     * that goes on taking requests for longest.
     */
    private Resolution lastServing(String region, AllowedRegions allowed, boolean inTouch, long nowMs) {
        List<Hello> leaving = dataNodes.leaving(inTouch, nowMs);
        List<String> last = lastOf(leaving, node -> node.region().equals(region));
        if (last.isEmpty() && allowed instanceof AllowedRegions.Only) {
            last = lastOf(leaving, node -> allowed.allows(node.region()));
        }
        return last.isEmpty() ? Resolution.NOWHERE : new Resolution(Scope.LEAVING, last);
    }

    private static List<String> lastOf(List<Hello> leaving, Predicate<Hello> wanted) {
        List<NodeId> nodes = leaving.stream().filter(wanted).map(Hello::node).toList();
        return LastServing.of(nodes)
                .map(last -> addressesWhere(leaving, node -> node.node().equals(last)))
                .orElse(List.of());
    }

    /** Data nodes in other regions than the client's. */
    private static Resolution abroad(List<Hello> ready, AllowedRegions allowed, boolean inTouch) {
        Scope scope = allowed instanceof AllowedRegions.Only ? Scope.HOMES : Scope.ANYWHERE;
        if (scope == Scope.ANYWHERE && !inTouch) {
            return Resolution.NOWHERE;
        }
        List<String> addresses = addressesWhere(ready, node -> allowed.allows(node.region()));
        return addresses.isEmpty() ? Resolution.NOWHERE : new Resolution(scope, addresses);
    }

    /** Nodes in the homes as last told; none if the client's region is one of the homes, or there are no homes. */
    private List<String> addressesAtHome(String region, AllowedRegions allowed, long nowMs) {
        if (!(allowed instanceof AllowedRegions.Only) || allowed.allows(region)) {
            return List.of();
        }
        return addressesWhere(dataNodes.readyAsLastTold(nowMs), node -> allowed.allows(node.region()));
    }

    private static List<String> addressesWhere(List<Hello> nodes, Predicate<Hello> wanted) {
        return nodes.stream()
                .filter(wanted)
                .limit(ADDRESSES_MAX)
                .map(node -> new NodeId(node.front()).toString())
                .toList();
    }
}
