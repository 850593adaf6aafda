package ringspindle.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Plans the next view from the promises of a majority of voters. The head is a promising voter with the newest state,
 * and the chain is a path of connected nodes through a majority of the voters. Used only once connectivity is known.
 */
final class ViewPlanner {
    private final ReplicaContext replica;
    private final VoterSelection selection;

    ViewPlanner(ReplicaContext replica, VoterSelection selection) {
        this.replica = replica;
        this.selection = selection;
    }

    /** Returns the next view, or null if the promises do not allow one. */
    View plan(long epoch, Map<NodeId, Pledge> promises) {
        Pledge newest = newest(promises.values());
        if (!holdsAllAcknowledged(newest, promises)) {
            return null;
        }
        NodeId head = chooseHead(newest, promises);
        View view = replica.view();
        List<NodeId> voters =
                selection.nextVoters(view, promises.keySet(), head, replica.connectivity(), replica.nowMs());
        List<NodeId> chain = planChain(head, voters, promises.keySet());
        if (chain == null && !voters.equals(view.voters())) {
            // with the new voters there is no chain over a majority of them: keep the current ones for now
            voters = view.voters();
            chain = planChain(head, voters, promises.keySet());
        }
        return chain == null ? null : new View(epoch, List.copyOf(voters), List.copyOf(chain), safeBase(promises));
    }

    // ---- choosing the head

    private static Pledge newest(Collection<Pledge> promises) {
        return promises.stream().max(Comparator.comparing(Pledge::position)).orElse(null);
    }

    /**
     * Whether the newest state is certain to hold everything that was acknowledged. A member of the previous chain that
     * kept its disk must be among the promising voters, since it shows what the previous view acknowledged. The state
     * must also have reached that view's base: a member that was stale when that view was decided, and received nothing
     * since, does not show what was acknowledged before it.
     */
    private boolean holdsAllAcknowledged(Pledge newest, Map<NodeId, Pledge> promises) {
        return newest != null
                && newest.lineage() >= 0
                && newest.position().compareTo(replica.view().base()) >= 0
                && replica.view().chain().stream().anyMatch(member -> keptDisk(promises.get(member)));
    }

    private static boolean keptDisk(Pledge promise) {
        return promise != null && promise.lineage() >= 0;
    }

    /**
     * Returns a position such that every state at or after it holds everything acknowledged so far. Every chain member
     * has on disk what this view acknowledged; a member that kept its disk and holds nothing of this view shows that
     * nothing was acknowledged in it.
     */
    private Position safeBase(Map<NodeId, Pledge> promises) {
        View view = replica.view();
        Position lowest = view.chain().stream()
                .map(promises::get)
                .filter(ViewPlanner::keptDisk)
                .map(Pledge::position)
                .min(Comparator.naturalOrder())
                .orElse(null);
        return lowest != null && lowest.lineage() == view.epoch() ? lowest : view.base();
    }

    /**
     * Returns the first promising voter with the newest state, in chain order; a node that shuts down is chosen only if
     * no other holds as much.
     */
    private NodeId chooseHead(Pledge newest, Map<NodeId, Pledge> promises) {
        List<NodeId> candidates = replica.votersInChainOrder();
        candidates.removeIf(node ->
                !promises.containsKey(node) || !promises.get(node).position().equals(newest.position()));
        return candidates.stream()
                .filter(node -> !replica.leaving(node))
                .findFirst()
                .orElse(candidates.get(0));
    }

    // ---- the chain

    /** Returns a chain from the head through a majority of the voters, or null if connectivity allows none. */
    private List<NodeId> planChain(NodeId head, List<NodeId> voters, Collection<NodeId> promisingVoters) {
        int majority = voters.size() / 2 + 1;
        List<NodeId> members = new ArrayList<>(voters);
        members.removeIf(node -> replica.view().voters().contains(node) && !promisingVoters.contains(node));
        members.remove(head);
        long staying = members.stream().filter(node -> !replica.leaving(node)).count();
        if (staying + 1 >= majority) {
            members.removeIf(replica::leaving);
        }
        sortByFailureDomain(head, members);
        List<NodeId> path = ChainPath.longest(head, members, replica.connectivity()::connected);
        return path.size() < majority ? null : path;
    }

    /** Sorts members by failure domain, the head's first, so that the chain crosses each long link once. */
    private void sortByFailureDomain(NodeId head, List<NodeId> members) {
        Connectivity connectivity = replica.connectivity();
        List<String> domains = new ArrayList<>(List.of(connectivity.failureDomain(head)));
        for (NodeId member : members) {
            String domain = connectivity.failureDomain(member);
            if (!domains.contains(domain)) {
                domains.add(domain);
            }
        }
        members.sort(Comparator.comparingInt(member -> domains.indexOf(connectivity.failureDomain(member))));
    }
}
