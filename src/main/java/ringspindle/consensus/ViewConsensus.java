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
 * The agreement on views on one node. A view is decided by single-decree agreement of a majority of the previous view's
 * voters; a voter that promised the next epoch refuses the entries of the old one. This class hands each input to the part
 * whose job it is, and is the one place where a view comes into force.
 */
public final class ViewConsensus {
    /** More voters bear no loss that is asked for, and each of them is one more sync and hop for every order. */
    public static final int MAX_VOTERS = 9;
    /** How long nobody may have heard of a voter before its seat is given away, in milliseconds. */
    public static final long VOTER_SILENCE_TIMEOUT_MS = 2000;

    private final ReplicaContext replica;
    private final Effects effects;
    private final LocalState localState;
    private final Acceptor acceptor;
    private final Proposer proposer;
    private final Relearning relearning;
    private final ViewMonitor monitor;

    /**
     * Settings of the agreement on one node.
     *
     * @param self this node
     * @param seeds nodes that are known from the settings
     * @param bootstrap true for the first start of a system: its seeds are the first voters
     * @param minVoters as many voters as remain at least: 2f + 1 for the loss of f disks
     */
    public record Settings(NodeId self, List<NodeId> seeds, boolean bootstrap, int minVoters) {}

    /**
     * A node without memory: until {@link #restore}, {@link #bootstrap} or the answers of a majority give it one, it neither
     * votes nor holds state.
     *
     * @param localState is first called in an input, not in this constructor
     */
    public ViewConsensus(Settings settings, Random random, Effects effects, LocalState localState) {
        this.effects = effects;
        this.localState = localState;
        replica = new ReplicaContext(settings.self(), settings.seeds());
        VoterSelection selection = new VoterSelection(settings.self(), Math.min(MAX_VOTERS, settings.minVoters()));
        monitor = new ViewMonitor(replica, selection, settings.bootstrap());
        acceptor = new Acceptor(replica, effects, localState::position);
        proposer = new Proposer(replica, effects, random, acceptor, new ViewPlanner(replica, selection), this::learn);
        relearning = new Relearning(replica, effects, random);
    }

    /** This node, its view and its place there. */
    public ReplicaContext replica() {
        return replica;
    }

    // ---- the start

    /** Takes over what was found on disk; a vote without a view is one of a node that had not relearned anything yet. */
    public void restore(Vote vote) {
        if (vote.view() != null) {
            replica.participate(vote.view());
        }
        acceptor.restore(VoterState.of(vote.promisedEpoch(), vote.promised(), vote.acceptedBallot(), vote.accepted()));
    }

    /** The first start of a system: these nodes are the first voters and the first chain. */
    public void bootstrap(List<NodeId> initialVoters) {
        replica.participate(new View(1, List.copyOf(initialVoters), List.copyOf(initialVoters), new Position(1, 0)));
    }

    // ---- what others see

    /** The record of all that this voter must not forget. */
    public Vote vote() {
        return acceptor.vote();
    }

    /** True while this node has promised a newer view: it neither takes entries of the view in force nor confirms it. */
    public boolean fenced() {
        return acceptor.fenced();
    }

    /** True if this node has been fenced for at least so many milliseconds. */
    public boolean fencedFor(long ms) {
        return acceptor.fencedFor(ms);
    }

    /** True if contact with a majority of the voters dates from so lately that this node hears of all that is committed. */
    public boolean hasRecentQuorum(long nowMs) {
        return monitor.hasRecentQuorum(nowMs);
    }

    /** True while a start with too few voters waits for nodes that may still join. */
    public boolean awaitingVoters(long nowMs) {
        return monitor.awaitingVoters(nowMs);
    }

    /** True if the view in force, which must be known, has as many voters as any view may have. */
    public boolean hasMaxVoters() {
        return replica.view().voters().size() >= MAX_VOTERS;
    }

    // ---- inputs

    /** Takes a message on views; false if it is one of another kind. */
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

    /** A new connection to that node stands: whichever of the two missed a view learns it. */
    public void onConnectionOpened(NodeId peer) {
        if (replica.participates()) {
            effects.send(peer, new Decided(replica.view()));
        } else {
            relearning.sendRelearn(peer);
        }
    }

    /** Time went on; the first of the three steps of a tick: notes with whom this node is in touch. */
    public void observe(long nowMs, Connectivity connectivity) {
        if (replica.tick(nowMs, connectivity)) {
            monitor.onPause();
        }
        monitor.tick();
    }

    /** The second step of a tick: asks peers for what this node may have forgotten or missed. */
    public void requestMissingState() {
        if (replica.participates()) {
            relearning.requestFromOne();
        } else {
            relearning.requestFromAll();
        }
    }

    /** The third step of a tick: goes on with a proposal, or begins one if the view in force no longer serves. */
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

    /** True while this node knows of no newer view, decided or promised. */
    private boolean confirms(long epoch) {
        return replica.participates() && replica.epoch() == epoch && !acceptor.fenced();
    }

    private void learn(View view) {
        if (view == null || replica.view() != null && view.epoch() <= replica.epoch()) {
            return;
        }
        replica.adoptView(view);
        if (!replica.participates()) {
            // a node without memory must not act in any view before it has relearned
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
