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
 * over links that stand, through a majority of its voters.
 */
final class ViewPlanner {
    /** Steps that the search for a chain over broken links may take. */
    private static final int PATH_STEPS_MAX = 4000;

    private final Replica replica;
    private final VoterSelection selection;
    private int pathSteps;

    ViewPlanner(Replica replica, VoterSelection selection) {
        this.replica = replica;
        this.selection = selection;
    }

    /** The next view, null if these promises do not allow one. */
    View plan(long epoch, Map<NodeId, Pledge> promises) {
        Pledge newest = newest(promises.values());
        if (!safe(newest, promises)) {
            return null;
        }
        NodeId head = head(newest, promises);
        View view = replica.view();
        List<NodeId> voters = replica.connectivity() == null
                ? view.voters()
                : selection.nextVoters(view, promises.keySet(), head, replica.connectivity(), replica.nowMs());
        List<NodeId> chain = chain(head, voters, promises.keySet());
        if (chain == null && !voters.equals(view.voters())) {
            // with other voters there is no chain over a majority of them: leave them as they are for now
            voters = view.voters();
            chain = chain(head, voters, promises.keySet());
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
    private boolean safe(Pledge newest, Map<NodeId, Pledge> promises) {
        return newest != null
                && newest.lineage() >= 0
                && newest.position().compareTo(replica.view().base()) >= 0
                && replica.view().chain().stream().anyMatch(member -> keptDisk(promises.get(member)));
    }

    private static boolean keptDisk(Pledge pledge) {
        return pledge != null && pledge.lineage() >= 0;
    }

    /**
     * A position from which on every state holds all that was acknowledged so far. What this view acknowledged, every member
     * of its chain has on disk; a member that kept its disk and holds nothing of this view shows that it acknowledged nothing.
     */
    private Position safeBase(Map<NodeId, Pledge> promises) {
        View view = replica.view();
        Position least = view.chain().stream()
                .map(promises::get)
                .filter(ViewPlanner::keptDisk)
                .map(Pledge::position)
                .min(Comparator.naturalOrder())
                .orElse(null);
        return least != null && least.lineage() == view.epoch() ? least : view.base();
    }

    /** The first promiser with the newest copy, in the order of the chain; one that leaves only if no other holds as much. */
    private NodeId head(Pledge newest, Map<NodeId, Pledge> promises) {
        List<NodeId> order = new ArrayList<>(replica.view().chain());
        replica.view().voters().stream().filter(voter -> !order.contains(voter)).forEach(order::add);
        order.removeIf(node ->
                !promises.containsKey(node) || !promises.get(node).position().equals(newest.position()));
        return order.stream().filter(node -> !replica.leaving(node)).findFirst().orElse(order.get(0));
    }

    // ---- the chain

    /** A chain from the head through a majority of the voters, null if the links allow none. */
    private List<NodeId> chain(NodeId head, List<NodeId> voters, Collection<NodeId> promisers) {
        int majority = voters.size() / 2 + 1;
        List<NodeId> members = new ArrayList<>(voters);
        members.removeIf(node -> replica.view().voters().contains(node) && !promisers.contains(node));
        members.remove(head);
        long staying = members.stream().filter(node -> !replica.leaving(node)).count();
        if (staying + 1 >= majority) {
            members.removeIf(replica::leaving);
        }
        sortByPlace(head, members);
        List<NodeId> path = longestPath(head, members);
        return path.size() < majority ? null : path;
    }

    /** Orders members by place, the head's first, so that the chain crosses each long link once. */
    private void sortByPlace(NodeId head, List<NodeId> members) {
        if (replica.connectivity() == null) {
            return;
        }
        List<String> places = new ArrayList<>(List.of(replica.connectivity().failureDomain(head)));
        for (NodeId member : members) {
            String place = replica.connectivity().failureDomain(member);
            if (!places.contains(place)) {
                places.add(place);
            }
        }
        members.sort(Comparator.comparingInt(
                member -> places.indexOf(replica.connectivity().failureDomain(member))));
    }

    /** The longest path from the head over links that stand, or the best that a bounded search finds. */
    private List<NodeId> longestPath(NodeId head, List<NodeId> rest) {
        pathSteps = PATH_STEPS_MAX;
        return path(head, rest);
    }

    private List<NodeId> path(NodeId from, List<NodeId> rest) {
        List<NodeId> best = List.of(from);
        if (--pathSteps < 0) {
            return best;
        }
        for (NodeId next : rest) {
            if (replica.connectivity() != null && !replica.connectivity().linked(from, next)) {
                continue;
            }
            List<NodeId> others = new ArrayList<>(rest);
            others.remove(next);
            List<NodeId> tail = path(next, others);
            if (tail.size() + 1 > best.size()) {
                best = new ArrayList<>(List.of(from));
                best.addAll(tail);
            }
            if (best.size() == rest.size() + 1) {
                return best;
            }
        }
        return best;
    }
}
