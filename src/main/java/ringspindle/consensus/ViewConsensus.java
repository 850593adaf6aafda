package ringspindle.consensus;

import java.util.List;
import java.util.Random;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Confirm;
import ringspindle.protocol.Message.Confirmed;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Position;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.Relearn;
import ringspindle.protocol.Message.Relearned;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;
import ringspindle.protocol.NodeId;

/**
 * View consensus on one node. Each view is decided by single-decree consensus among a majority of the previous view's
 * voters; a voter that promised the next epoch rejects entries of the old one. This class dispatches each input to the
 * component responsible, and is the only place where a view takes effect.
 */
public final class ViewConsensus {
    /**
     * More voters are not needed for any supported number of losses, and each adds a sync and a hop to every command.
     */
    public static final int MAX_VOTERS = 9;
    /** How long a voter may go unheard by every connected node before it loses its vote, in milliseconds. */
    public static final long VOTER_SILENCE_TIMEOUT_MS = 2000;

    private final ReplicaContext replica;
    private final Effects effects;
    private final LocalState localState;
    private final Acceptor acceptor;
    private final Proposer proposer;
    private final Relearning relearning;
    private final ViewMonitor monitor;

    /**
     * Settings of view consensus on one node.
     *
     * @param self this node
     * @param seeds nodes known from the settings
     * @param bootstrap true for the first start of a system: its seeds become the first voters
     * @param minVoters the number of voters to retain at least: 2f + 1 to tolerate the loss of f disks
     */
    public record Settings(NodeId self, List<NodeId> seeds, boolean bootstrap, int minVoters) {}

    /**
     * Creates a node without durable state: until {@link #restore}, {@link #bootstrap} or the answers of a majority
     * provide it, the node neither votes nor holds state.
     *
     * @param firstRequestId a random number, so that answers to an earlier process of this node are not mistaken for its own
     * @param localState is first called while an input is processed, not in this constructor
     */
    public ViewConsensus(
            Settings settings, Random random, long firstRequestId, Effects effects, LocalState localState) {
        this.effects = effects;
        this.localState = localState;
        replica = new ReplicaContext(settings.self(), settings.seeds());
        VoterSelection selection = new VoterSelection(settings.self(), Math.min(MAX_VOTERS, settings.minVoters()));
        monitor = new ViewMonitor(replica, selection, settings.bootstrap());
        acceptor = new Acceptor(replica, effects, localState::position);
        proposer = new Proposer(replica, effects, random, acceptor, new ViewPlanner(replica, selection), this::learn);
        relearning = new Relearning(replica, effects, random, firstRequestId);
    }

    /** The node's identity, current view and role in it. */
    public ReplicaContext replica() {
        return replica;
    }

    // ---- startup

    /** Restores the vote read from disk; one without a view was written before this node had relearned its promises. */
    public void restore(Vote vote) {
        if (vote.view() != null) {
            replica.participate(vote.view());
        }
        acceptor.restore(VoterState.of(vote.promisedEpoch(), vote.promised(), vote.acceptedBallot(), vote.accepted()));
    }

    /** Bootstraps a new system with these nodes as the first voters and the first chain. */
    public void bootstrap(List<NodeId> initialVoters) {
        replica.participate(new View(1, List.copyOf(initialVoters), List.copyOf(initialVoters), new Position(1, 0)));
    }

    // ---- queries

    /** The voter's durable record. */
    public Vote vote() {
        return acceptor.vote();
    }

    /**
     * Whether this node has promised a newer view: if so, it neither accepts entries of the current view nor confirms
     * it.
     */
    public boolean fenced() {
        return acceptor.fenced();
    }

    /** Whether this node has been fenced for at least the given time in milliseconds. */
    public boolean fencedFor(long ms) {
        return acceptor.fencedFor(ms);
    }

    /**
     * Whether this node was connected to a majority of the voters so recently that it learns of everything committed.
     */
    public boolean hasRecentQuorum(long nowMs) {
        return monitor.hasRecentQuorum(nowMs);
    }

    /** Whether a system that starts with too few voters is still waiting for further nodes to join. */
    public boolean awaitingVoters(long nowMs) {
        return monitor.awaitingVoters(nowMs);
    }

    /** Whether the current view, which must be known, has the maximum number of voters. */
    public boolean hasMaxVoters() {
        return replica.view().voters().size() >= MAX_VOTERS;
    }

    // ---- inputs

    /** Processes a message of view consensus; returns false for any other message. */
    public boolean receive(NodeId from, Message message) {
        if (message instanceof Prepare prepare) {
            learn(prepare.view());
            acceptor.onPrepare(from, prepare);
        } else if (message instanceof Pledge promise) {
            learn(promise.view());
            proposer.onPromise(from, promise);
        } else if (message instanceof Accept accept) {
            acceptor.onAccept(from, accept);
        } else if (message instanceof Accepted accepted) {
            proposer.onAccepted(from, accepted);
        } else if (message instanceof Decided decided) {
            learn(decided.view());
        } else if (message instanceof Relearn relearn) {
            acceptor.onRelearn(from, relearn);
        } else if (message instanceof Relearned relearned) {
            onRelearned(from, relearned);
        } else if (message instanceof Confirm confirm) {
            effects.send(from, new Confirmed(confirm.epoch(), confirm.id(), confirms(confirm.epoch())));
        } else {
            return false;
        }
        return true;
    }

    /** Called for a new connection to the peer: whichever of the two missed a view learns it. */
    public void onConnectionOpened(NodeId peer) {
        if (replica.participates()) {
            effects.send(peer, new Decided(replica.view()));
        } else {
            relearning.sendRelearn(peer);
        }
    }

    /** First step of a tick: updates the connectivity. */
    public void observe(long nowMs, Connectivity connectivity) {
        if (replica.tick(nowMs, connectivity)) {
            monitor.onPause();
        }
        monitor.tick();
    }

    /**
     * Second step of a tick: asks peers for promises that this node may have lost, or for a view that it may have
     * missed.
     */
    public void requestMissingState() {
        if (replica.participates()) {
            relearning.requestFromOne();
        } else {
            relearning.requestFromAll();
        }
    }

    /** Third step of a tick: continues an open proposal, or starts one if the current view has a defect. */
    public void proposeIfDue() {
        if (!replica.participates()) {
            return;
        }
        if (proposer.proposing()) {
            proposer.tick();
        } else if (monitor.proposalDue(localState, acceptor) && proposer.mayPropose()) {
            proposer.propose();
        }
    }

    // ---- views

    /** Whether this node knows of no newer view, neither decided nor promised. */
    private boolean confirms(long epoch) {
        return replica.participates() && replica.epoch() == epoch && !acceptor.fenced();
    }

    private void learn(View view) {
        if (view == null || replica.view() != null && view.epoch() <= replica.epoch()) {
            return;
        }
        replica.adoptView(view);
        if (!replica.participates()) {
            // a relearning node must not act in any view
            return;
        }
        acceptor.onViewStarted(view);
        proposer.startView();
        monitor.startView();
        localState.onViewStarted(view);
    }

    private void onRelearned(NodeId from, Relearned answer) {
        if (replica.participates() || answer.view() == null) {
            learn(answer.view());
            return;
        }
        VoterState promised = relearning.onRelearned(from, answer);
        if (promised != null) {
            acceptor.restore(promised);
            replica.participate(replica.view());
            localState.onRelearned(replica.view());
        }
    }

    @Override
    public String toString() {
        return acceptor + " participates " + replica.participates() + " proposes " + proposer.proposing();
    }
}
