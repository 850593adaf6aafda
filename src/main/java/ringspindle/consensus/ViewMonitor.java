package ringspindle.consensus;

import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** Detects defects of the current view and decides when this node is to propose a new one. */
final class ViewMonitor {
    private static final long UNSET = -1;
    private static final long FENCED_GRACE_MS = 500;
    private static final long BROKEN_CHAIN_GRACE_MS = 200;
    private static final long COMMIT_STALL_TIMEOUT_MS = 1200;
    /** Added per rank, so that voters propose one after the other and do not compete. */
    private static final long PROPOSER_RANK_DELAY_MS = 350;
    /**
     * The delay before a voter rejoins the chain; it doubles up to the maximum while views start without the whole set
     * of voters.
     */
    private static final long CHAIN_REJOIN_DELAY_MS = 300;

    private static final long MAX_CHAIN_REJOIN_DELAY_MS = 1200;
    /** How long to wait for further nodes that may join before the voters change. */
    private static final long VOTER_CHANGE_DELAY_MS = 300;

    private static final long STARTUP_VOTER_CHANGE_DELAY_MS = 600;
    /** How long a system that starts with too few voters waits for nodes that it has not heard of yet. */
    private static final long BOOTSTRAP_VOTER_WAIT_MS = 8000;

    private static final long RESTART_VOTER_WAIT_MS = 3000;
    /** The bound on any such wait: a node that never joins must not block commands forever. */
    private static final long MAX_VOTER_WAIT_MS = 30_000;
    /** How long after the last contact with a quorum this node may assume that it learns of everything committed. */
    private static final long QUORUM_CONTACT_VALIDITY_MS = 1200;

    /** The state of the current view. The kind of defect may change while the view stays defective. */
    private sealed interface ViewHealth {
        ViewHealth HEALTHY = new Healthy();

        record Healthy() implements ViewHealth {}

        record Defective(long sinceMs) implements ViewHealth {}
    }

    private final ReplicaContext replica;
    private final VoterSelection selection;
    private final boolean bootstrap;
    private long startedMs = UNSET;
    private ViewHealth health = ViewHealth.HEALTHY;
    private long lastQuorumContactMs = Long.MIN_VALUE / 2;
    private long chainRejoinDelayMs = CHAIN_REJOIN_DELAY_MS;

    ViewMonitor(ReplicaContext replica, VoterSelection selection, boolean bootstrap) {
        this.replica = replica;
        this.selection = selection;
        this.bootstrap = bootstrap;
    }

    void startView() {
        health = ViewHealth.HEALTHY;
        boolean allVotersInChain =
                replica.view().chain().size() == replica.view().voters().size();
        chainRejoinDelayMs =
                allVotersInChain ? CHAIN_REJOIN_DELAY_MS : Math.min(chainRejoinDelayMs * 2, MAX_CHAIN_REJOIN_DELAY_MS);
    }

    void onPause() {
        health = ViewHealth.HEALTHY;
        selection.resetSilence();
    }

    /** Records connectivity to a quorum and to each voter. */
    void tick() {
        if (startedMs < 0) {
            startedMs = replica.nowMs();
        }
        if (replica.participates()) {
            if (connectedToQuorum()) {
                lastQuorumContactMs = replica.nowMs();
            }
            selection.observe(replica.view(), replica.connectivity(), replica.nowMs());
        }
    }

    private boolean connectedToQuorum() {
        return replica.view().voters().stream().filter(this::isConnected).count()
                >= replica.view().majority();
    }

    private boolean isConnected(NodeId node) {
        return node.equals(replica.self()) || replica.connectedTo(node);
    }

    boolean hasRecentQuorum(long nowMs) {
        return nowMs - lastQuorumContactMs < QUORUM_CONTACT_VALIDITY_MS;
    }

    /**
     * Whether there are too few voters to tolerate the configured losses, so that commands wait for nodes that may
     * join.
     */
    boolean awaitingVoters(long nowMs) {
        if (replica.view() != null && replica.view().voters().size() >= selection.minVoters()) {
            return false;
        }
        if (replica.view() == null || startedMs < 0) {
            return true;
        }
        long waitedMs = nowMs - startedMs;
        return waitedMs < (bootstrap ? BOOTSTRAP_VOTER_WAIT_MS : RESTART_VOTER_WAIT_MS)
                || waitedMs < MAX_VOTER_WAIT_MS && hasConnectedCandidate();
    }

    private boolean hasConnectedCandidate() {
        return replica.connectivity() != null
                && replica.connectivity().liveNodes().stream()
                        .anyMatch(node -> !replica.view().voters().contains(node) && !replica.leaving(node));
    }

    /** Whether this node is to propose a new view now. */
    boolean proposalDue(LocalState localState, Acceptor acceptor) {
        boolean mayPropose = replica.votes() && connectedToQuorum() && !replica.recentlyPaused();
        ViewDefect defect = mayPropose ? findDefect(localState, acceptor) : null;
        if (defect == null) {
            health = ViewHealth.HEALTHY;
            return false;
        }
        if (!(health instanceof ViewHealth.Defective)) {
            health = new ViewHealth.Defective(replica.nowMs());
        }
        long defectAgeMs = replica.nowMs() - ((ViewHealth.Defective) health).sinceMs();
        return defectAgeMs >= gracePeriodMs(defect) + proposerRank() * PROPOSER_RANK_DELAY_MS;
    }

    /**
     * The number of connected voters that propose before this one: chain members ahead of it, then the other voters.
     */
    private long proposerRank() {
        List<NodeId> order = replica.votersInChainOrder();
        return order.subList(0, order.indexOf(replica.self())).stream()
                .filter(replica::connectedTo)
                .count();
    }

    /** Returns the first defect of the current view, or null. */
    private ViewDefect findDefect(LocalState localState, Acceptor acceptor) {
        View view = replica.view();
        if (acceptor.fenced()) {
            return ViewDefect.FENCED;
        }
        if (chainBroken(view)) {
            return ViewDefect.CHAIN_BROKEN;
        }
        if (memberLeaves(view)) {
            return ViewDefect.MEMBER_LEAVES;
        }
        if (replica.isHead() && localState.belongsToCurrentView() && localState.stalledFor(COMMIT_STALL_TIMEOUT_MS)) {
            return ViewDefect.STALLED;
        }
        if (replica.isHead() && !localState.belongsToCurrentView()
                || replica.connectivity().relearning(view.head())) {
            return ViewDefect.HEAD_WITHOUT_STATE;
        }
        if (voterToAdd(view)) {
            return ViewDefect.VOTER_TO_ADD;
        }
        return selection.changeDue(view, replica.connectivity(), replica.nowMs()) ? ViewDefect.VOTERS_TO_CHANGE : null;
    }

    /** How long a defect must persist before a new view is proposed. */
    private long gracePeriodMs(ViewDefect defect) {
        return switch (defect) {
            case FENCED -> FENCED_GRACE_MS;
            case CHAIN_BROKEN, HEAD_WITHOUT_STATE -> BROKEN_CHAIN_GRACE_MS;
            case MEMBER_LEAVES, STALLED -> 0;
            case VOTER_TO_ADD -> chainRejoinDelayMs;
            case VOTERS_TO_CHANGE ->
                awaitingVoters(replica.nowMs()) ? STARTUP_VOTER_CHANGE_DELAY_MS : VOTER_CHANGE_DELAY_MS;
        };
    }

    private boolean chainBroken(View view) {
        List<NodeId> chain = view.chain();
        for (int i = 0; i + 1 < chain.size(); i++) {
            if (!replica.connectivity().connected(chain.get(i), chain.get(i + 1))) {
                return true;
            }
        }
        return false;
    }

    private boolean memberLeaves(View view) {
        long staying =
                view.chain().stream().filter(node -> !replica.leaving(node)).count();
        return staying < view.chain().size() && staying >= view.majority();
    }

    /** Whether a voter outside the chain could join it: connected to this node and to a connected member. */
    private boolean voterToAdd(View view) {
        return view.voters().stream().anyMatch(voter -> mayJoinChain(voter, view) && hasConnectedMember(voter, view));
    }

    private boolean mayJoinChain(NodeId voter, View view) {
        return !view.chain().contains(voter)
                && !replica.leaving(voter)
                && !replica.connectivity().relearning(voter)
                && isConnected(voter);
    }

    private boolean hasConnectedMember(NodeId voter, View view) {
        return view.chain().stream()
                .anyMatch(
                        member -> isConnected(member) && replica.connectivity().connected(member, voter));
    }
}
