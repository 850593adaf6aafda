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
 * Makes the next view out of what a majority of voters promised: its head is a promiser with the newest copy, its chain a path
 * over links that stand, through a majority of its voters. Asked only once links are known.
 */
final class ViewPlanner {
    private final ReplicaContext replica;
    private final VoterSelection selection;

    ViewPlanner(ReplicaContext replica, VoterSelection selection) {
        this.replica = replica;
        this.selection = selection;
    }

    /** The next view, null if these promises do not allow one. */
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
            // with other voters there is no chain over a majority of them: leave them as they are for now
            voters = view.voters();
            chain = planChain(head, voters, promises.keySet());
        }
        return chain == null ? null : new View(epoch, List.copyOf(voters), List.copyOf(chain), safeBase(promises));
    }

    // ---- which copies may lead

    private static Pledge newest(Collection<Pledge> promises) {
        return promises.stream().max(Comparator.comparing(Pledge::position)).orElse(null);
    }

    /**
     * True if the newest copy surely holds all that was acknowledged. A member of the last chain that kept its disk has to be
     * among the promisers: it tells what the last view acknowledged. And the copy has to hold the last view's base: a member
     * that was stale when that view was decided, and got nothing since, does not tell what was acknowledged before it.
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
     * A position from which on every state holds all that was acknowledged so far. What this view acknowledged, every member
     * of its chain has on disk; a member that kept its disk and holds nothing of this view shows that it acknowledged nothing.
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

    /** The first promiser with the newest copy, in the order of the chain; one that leaves only if no other holds as much. */
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

    /** A chain from the head through a majority of the voters, null if the links allow none. */
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

    /** Orders members by failure domain, the head's first, so that the chain crosses each long link once. */
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
