package ringspindle.consensus;

import java.util.List;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/** Judges whether the view in force still serves, and when this node is to propose another one. */
final class ViewMonitor {
    private static final long UNSET = -1;
    private static final long FENCED_MS = 500;
    private static final long BROKEN_MS = 200;
    private static final long STALLED_MS = 1200;
    /** Voters propose in turn, so that they do not compete. */
    private static final long RANK_MS = 350;
    /** A voter that is back is taken into the chain after so long; longer, up to the bound, if that keeps failing. */
    private static final long READD_MS = 300;

    private static final long READD_MAX_MS = 1200;
    /** How long a node that may join is waited for before the voters change. */
    private static final long JOIN_MS = 300;

    private static final long JOIN_FOUNDING_MS = 600;
    /** How long a start with too few voters waits for nodes that it has not heard of yet. */
    private static final long FOUNDING_MS = 8000;

    private static final long RESTART_FOUNDING_MS = 3000;
    /** After so long nothing is waited for: a node that never joins must not hold up orders for good. */
    private static final long FOUNDING_MAX_MS = 30_000;
    /** For so long after the last proof of contact this node may take it that it hears of all that is committed. */
    private static final long QUORUM_MS = 1200;

    /** Whether the view in force serves, or since when it has not; what is wrong with it may change meanwhile. */
    private sealed interface Verdict {
        Verdict SERVES = new Serving();

        record Serving() implements Verdict {}

        record Defective(long sinceMs) implements Verdict {}
    }

    private final ReplicaContext replica;
    private final VoterSelection selection;
    private final boolean bootstrap;
    private long startedMs = UNSET;
    private Verdict verdict = Verdict.SERVES;
    private long quorumMs = Long.MIN_VALUE / 2;
    private long readdMs = READD_MS;

    ViewMonitor(ReplicaContext replica, VoterSelection selection, boolean bootstrap) {
        this.replica = replica;
        this.selection = selection;
        this.bootstrap = bootstrap;
    }

    void startView() {
        verdict = Verdict.SERVES;
        boolean whole = replica.view().chain().size() == replica.view().voters().size();
        readdMs = whole ? READD_MS : Math.min(readdMs * 2, READD_MAX_MS);
    }

    void onPause() {
        verdict = Verdict.SERVES;
        selection.forgetSilence();
    }

    /** Time went on; notes with whom this node is in touch. */
    void tick() {
        if (startedMs < 0) {
            startedMs = replica.nowMs();
        }
        if (replica.participates()) {
            if (quorumLinked()) {
                quorumMs = replica.nowMs();
            }
            selection.observe(replica.view(), replica.connectivity(), replica.nowMs());
        }
    }

    private boolean quorumLinked() {
        return replica.view().voters().stream().filter(this::inTouch).count()
                >= replica.view().majority();
    }

    private boolean inTouch(NodeId node) {
        return node.equals(replica.self()) || replica.linked(node);
    }

    boolean quorumProven(long nowMs) {
        return nowMs - quorumMs < QUORUM_MS;
    }

    /** Too few voters to bear the losses asked for: orders wait for nodes that may still join. */
    boolean founding(long nowMs) {
        if (replica.view() != null && replica.view().voters().size() >= selection.leastVoters()) {
            return false;
        }
        if (replica.view() == null || startedMs < 0) {
            return true;
        }
        long waitedMs = nowMs - startedMs;
        return waitedMs < (bootstrap ? FOUNDING_MS : RESTART_FOUNDING_MS)
                || waitedMs < FOUNDING_MAX_MS && joinerInTouch();
    }

    private boolean joinerInTouch() {
        return replica.connectivity() != null
                && replica.connectivity().live().stream()
                        .anyMatch(n -> !replica.view().voters().contains(n) && !replica.leaving(n));
    }

    /** True if this node is to propose another view now. */
    boolean proposalDue(LocalState copy, Acceptor acceptor) {
        boolean able = replica.votes() && quorumLinked() && !replica.justPaused();
        ViewDefect defect = able ? defect(copy, acceptor) : null;
        if (defect == null) {
            verdict = Verdict.SERVES;
            return false;
        }
        if (!(verdict instanceof Verdict.Defective)) {
            verdict = new Verdict.Defective(replica.nowMs());
        }
        long borneMs = replica.nowMs() - ((Verdict.Defective) verdict).sinceMs();
        return borneMs >= patienceMs(defect) + rank() * RANK_MS;
    }

    /** How many voters in touch propose before this one: those before it in the chain, then the others. */
    private long rank() {
        List<NodeId> order = replica.votersInChainOrder();
        return order.subList(0, order.indexOf(replica.self())).stream()
                .filter(replica::linked)
                .count();
    }

    /** What is wrong with the view in force, null if nothing is. */
    private ViewDefect defect(LocalState copy, Acceptor acceptor) {
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
        if (replica.isHead() && copy.belongsToCurrentView() && copy.stalledFor(STALLED_MS)) {
            return ViewDefect.STALLED;
        }
        if (replica.isHead() && !copy.belongsToCurrentView()
                || replica.connectivity().relearning(view.head())) {
            return ViewDefect.HEAD_WITHOUT_STATE;
        }
        if (voterToAdd(view)) {
            return ViewDefect.VOTER_TO_ADD;
        }
        return selection.changeDue(view, replica.connectivity(), replica.nowMs()) ? ViewDefect.VOTERS_TO_CHANGE : null;
    }

    /** How long to bear what is wrong with the view. */
    private long patienceMs(ViewDefect defect) {
        return switch (defect) {
            case FENCED -> FENCED_MS;
            case CHAIN_BROKEN, HEAD_WITHOUT_STATE -> BROKEN_MS;
            case MEMBER_LEAVES, STALLED -> 0;
            case VOTER_TO_ADD -> readdMs;
            case VOTERS_TO_CHANGE -> founding(replica.nowMs()) ? JOIN_FOUNDING_MS : JOIN_MS;
        };
    }

    private boolean chainBroken(View view) {
        List<NodeId> chain = view.chain();
        for (int i = 0; i + 1 < chain.size(); i++) {
            if (!replica.connectivity().linked(chain.get(i), chain.get(i + 1))) {
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

    /** True if a voter outside the chain could be a member: in touch here and with a member in touch. */
    private boolean voterToAdd(View view) {
        return view.voters().stream().anyMatch(voter -> mayJoinChain(voter, view) && memberInTouchWith(voter, view));
    }

    private boolean mayJoinChain(NodeId voter, View view) {
        return !view.chain().contains(voter)
                && !replica.leaving(voter)
                && !replica.connectivity().relearning(voter)
                && inTouch(voter);
    }

    private boolean memberInTouchWith(NodeId voter, View view) {
        return view.chain().stream()
                .anyMatch(member -> inTouch(member) && replica.connectivity().linked(member, voter));
    }
}
