package ringspindle.consensus;

import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import ringspindle.consensus.ProposalPhase.CollectingAcceptances;
import ringspindle.consensus.ProposalPhase.CollectingPromises;
import ringspindle.consensus.ProposalPhase.Idle;
import ringspindle.consensus.ProposalPhase.Open;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
import ringspindle.protocol.Message.Decided;
import ringspindle.protocol.Message.Pledge;
import ringspindle.protocol.Message.Prepare;
import ringspindle.protocol.Message.View;
import ringspindle.protocol.NodeId;

/**
 * The proposer side of view consensus: single-decree Paxos among the voters of the current view. Proposals start only
 * in a tick, so connectivity is always known.
 */
final class Proposer {
    /** Proposals older than this are abandoned, including after a pause of this node. */
    private static final long PROPOSAL_TIMEOUT_MS = 700;
    /** How long to wait for promises of further connected voters once a majority has promised. */
    private static final long PROMISE_WAIT_MS = 250;

    private static final long BACKOFF_MS = 150;
    private static final int BACKOFF_JITTER_MS = 400;
    /** The minimum time between a view taking effect and the next proposal. */
    private static final long VIEW_COOLDOWN_MS = 300;

    private final ReplicaContext replica;
    private final Effects effects;
    private final Random random;
    private final Acceptor acceptor;
    private final ViewPlanner planner;
    private final Consumer<View> onDecided;
    private ProposalPhase phase = new Idle(0);
    /** The highest round that this node has used or seen in a rejection. */
    private long round;

    /**
     * @param random adds jitter to the backoff after a failed proposal
     * @param onDecided receives the decided view
     */
    Proposer(
            ReplicaContext replica,
            Effects effects,
            Random random,
            Acceptor acceptor,
            ViewPlanner planner,
            Consumer<View> onDecided) {
        this.replica = replica;
        this.effects = effects;
        this.random = random;
        this.acceptor = acceptor;
        this.planner = planner;
        this.onDecided = onDecided;
    }

    // ---- transitions

    boolean proposing() {
        return phase instanceof Open;
    }

    boolean mayPropose() {
        return phase instanceof Idle idle && replica.nowMs() >= idle.notBeforeMs();
    }

    /** Ends any open proposal when a view takes effect and delays the next one. */
    void startView() {
        phase = new Idle(replica.nowMs() + VIEW_COOLDOWN_MS);
    }

    private void abandon() {
        phase = new Idle(replica.nowMs() + BACKOFF_MS + random.nextInt(BACKOFF_JITTER_MS));
    }

    /** Abandons the proposal since a voter has promised a higher ballot; the next proposal must exceed it. */
    private void onHigherBallot(long promised) {
        round = Math.max(round, new Ballot(promised).round());
        abandon();
    }

    void propose() {
        long epoch = replica.epoch() + 1;
        round = Math.max(round, acceptor.promisedBallot(epoch).round()) + 1;
        Ballot ballot = Ballot.of(round, replica.view().voters().indexOf(replica.self()));
        phase = new CollectingPromises(new ProposalId(epoch, ballot), replica.nowMs());
        for (NodeId voter : replica.view().voters()) {
            effects.send(voter, new Prepare(epoch, ballot.number(), replica.view()));
        }
    }

    void tick() {
        if (phase instanceof CollectingPromises collecting) {
            proposeValueIfPromised(collecting);
        }
        if (phase instanceof Open proposal && expired(proposal)) {
            abandon();
        }
    }

    /**
     * Whether the proposal timed out: after a pause of this node, a promise may stem from a voter that lost its disk
     * since.
     */
    private boolean expired(Open proposal) {
        return replica.nowMs() - proposal.sinceMs() > PROPOSAL_TIMEOUT_MS;
    }

    // ---- promises

    void onPromise(NodeId from, Pledge promise) {
        if (!(phase instanceof CollectingPromises collecting)
                || !collecting.id().matches(promise.epoch(), promise.ballot())) {
            return;
        }
        if (expired(collecting)) {
            abandon();
        } else if (!promise.granted()) {
            onHigherBallot(promise.promised());
        } else {
            collecting.promises().put(from, promise);
            proposeValueIfPromised(collecting);
        }
    }

    /** Starts phase two once a majority has promised, after a short wait for the other connected voters. */
    private void proposeValueIfPromised(CollectingPromises collecting) {
        if (collecting.promises().size() < replica.view().majority()
                || expired(collecting)
                || awaitingMorePromises(collecting)) {
            return;
        }
        View accepted = collecting.highestAccepted();
        View value = accepted != null ? accepted : planner.plan(collecting.id().epoch(), collecting.promises());
        if (value == null) {
            abandon();
            return;
        }
        phase = collecting.withValue(value);
        ProposalId id = collecting.id();
        for (NodeId voter : replica.view().voters()) {
            effects.send(voter, new Accept(id.epoch(), id.ballot().number(), value));
        }
    }

    private boolean awaitingMorePromises(CollectingPromises collecting) {
        long expected = replica.view().voters().stream()
                .filter(voter -> voter.equals(replica.self()) || replica.connectedTo(voter))
                .count();
        return collecting.promises().size() < expected && replica.nowMs() - collecting.sinceMs() < PROMISE_WAIT_MS;
    }

    // ---- acceptances

    void onAccepted(NodeId from, Accepted answer) {
        if (!(phase instanceof CollectingAcceptances collecting)
                || !collecting.id().matches(answer.epoch(), answer.ballot())) {
            return;
        }
        if (expired(collecting)) {
            abandon();
        } else if (!answer.granted()) {
            onHigherBallot(answer.promised());
        } else {
            collecting.accepts().add(from);
            if (collecting.accepts().size() >= replica.view().majority()) {
                announceDecision(collecting.value());
            }
        }
    }

    private void announceDecision(View view) {
        Set<NodeId> recipients = new TreeSet<>(replica.view().voters());
        recipients.addAll(view.voters());
        // nodes without a vote need the view as well, to forward calls to the head
        recipients.addAll(replica.connectivity().liveNodes());
        recipients.remove(replica.self());
        recipients.forEach(node -> effects.send(node, new Decided(view)));
        onDecided.accept(view);
    }
}
