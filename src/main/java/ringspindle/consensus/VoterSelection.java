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
 * Chooses the voters of the next view. Nodes that join take a seat; a voter that leaves or stays silent loses its seat, one
 * voter a view, as long as enough voters remain for the losses that have to be borne. A voter that was only cut off or
 * frozen joins again like any other node.
 */
final class VoterSelection {
    private final NodeId self;
    private final int minVoters;
    private final Map<NodeId, Long> silentSinceMs = new TreeMap<>();

    /**
     * @param minVoters as many voters as remain at least: 2f + 1 for the loss of f disks
     */
    VoterSelection(NodeId self, int minVoters) {
        this.self = self;
        this.minVoters = minVoters;
    }

    int minVoters() {
        return minVoters;
    }

    /** Notes which voters nobody in touch hears of. */
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

    /** After a pause of this node it cannot tell how long the others were silent. */
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

    /** True while another set of voters would be better than the one in force. */
    boolean changeDue(View view, Connectivity connectivity, long nowMs) {
        return !nextVoters(view, Set.of(), null, connectivity, nowMs).equals(view.voters());
    }

    /**
     * The voters of the next view, those of the present one in their order and joiners behind them.
     *
     * @param promised voters that have just promised, and so are not silent
     * @param keep a voter that must stay since nobody else holds as much, null if there is none
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

    /** The voter whose seat is given up next: one that leaves, else the one silent for longest; null if there is none. */
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

    /** Nodes that may vote: in touch, not leaving, with memory of what was promised, and heard by most voters. */
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
