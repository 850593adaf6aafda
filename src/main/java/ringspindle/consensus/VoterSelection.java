package ringspindle.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * Selects the voters of the next view. Joining nodes become voters; a voter that shuts down or stays silent is removed,
 * one per view, as long as enough voters remain to tolerate the configured losses. A voter that was only partitioned or
 * paused joins again like any other node.
 */
final class VoterSelection {
    private final NodeId self;
    private final int minVoters;
    private final Map<NodeId, Long> silentSinceMs = new TreeMap<>();

    /**
     * @param minVoters the number of voters to retain at least: 2f + 1 to tolerate the loss of f disks
     */
    VoterSelection(NodeId self, int minVoters) {
        this.self = self;
        this.minVoters = minVoters;
    }

    int minVoters() {
        return minVoters;
    }

    /** Records which voters are unheard by every connected voter. */
    void observe(View view, Connectivity connectivity, long nowMs) {
        silentSinceMs.keySet().retainAll(view.voters());
        for (NodeId voter : view.voters()) {
            if (reachable(voter, view, connectivity)) {
                silentSinceMs.remove(voter);
            } else {
                silentSinceMs.putIfAbsent(voter, nowMs);
            }
        }
    }

    /** Discards the record of silent voters, since a paused node cannot tell how long they were silent. */
    void resetSilence() {
        silentSinceMs.clear();
    }

    private boolean reachable(NodeId voter, View view, Connectivity connectivity) {
        if (voter.equals(self) || connectivity.connected(self, voter)) {
            return true;
        }
        for (NodeId witness : view.voters()) {
            if (!witness.equals(voter)
                    && connectivity.connected(self, witness)
                    && connectivity.connected(witness, voter)) {
                return true;
            }
        }
        return false;
    }

    /** Whether another set of voters would be better than the current one. */
    boolean changeDue(View view, Connectivity connectivity, long nowMs) {
        return !nextVoters(view, Set.of(), null, connectivity, nowMs).equals(view.voters());
    }

    /**
     * Returns the voters of the next view: those of the current one in their order, followed by joining nodes.
     *
     * @param promised voters that have just promised, and so are not silent
     * @param keep a voter that must stay since no other holds as much, null if there is none
     */
    List<NodeId> nextVoters(
            View view, Collection<NodeId> promised, NodeId keep, Connectivity connectivity, long nowMs) {
        List<NodeId> joiners = findJoiners(view, connectivity);
        List<NodeId> voters = new ArrayList<>(view.voters());
        NodeId removed = voterToRemove(view, promised, keep, connectivity, nowMs);
        if (removed != null && voters.size() - 1 + joiners.size() >= minVoters) {
            voters.remove(removed);
        }
        for (NodeId joiner : joiners) {
            if (voters.size() < ViewConsensus.MAX_VOTERS) {
                voters.add(joiner);
            }
        }
        return voters;
    }

    /**
     * Returns the voter to remove next: one that shuts down, else the one silent for longest; null if there is none.
     */
    private NodeId voterToRemove(
            View view, Collection<NodeId> promised, NodeId keep, Connectivity connectivity, long nowMs) {
        for (NodeId voter : view.voters()) {
            if (!voter.equals(keep) && connectivity.leaving(voter)) {
                return voter;
            }
        }
        return view.voters().stream()
                .filter(voter -> !voter.equals(keep) && !promised.contains(voter))
                .filter(voter ->
                        nowMs - silentSinceMs.getOrDefault(voter, nowMs) >= ViewConsensus.VOTER_SILENCE_TIMEOUT_MS)
                .min(Comparator.comparing(silentSinceMs::get))
                .orElse(null);
    }

    /**
     * Returns the nodes that may become voters: connected, not shutting down, not relearning, and heard by most voters.
     */
    private List<NodeId> findJoiners(View view, Connectivity connectivity) {
        List<NodeId> joiners = new ArrayList<>();
        for (NodeId node : connectivity.liveNodes()) {
            if (!view.voters().contains(node)
                    && !connectivity.leaving(node)
                    && !connectivity.relearning(node)
                    && countConnectedVoters(node, view, connectivity) >= view.majority()) {
                joiners.add(node);
            }
        }
        return joiners;
    }

    private static int countConnectedVoters(NodeId node, View view, Connectivity connectivity) {
        int connectedVoters = 0;
        for (NodeId voter : view.voters()) {
            connectedVoters += connectivity.connected(node, voter) ? 1 : 0;
        }
        return connectedVoters;
    }
}
