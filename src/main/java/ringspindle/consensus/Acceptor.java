package ringspindle.consensus;

import java.util.List;
import java.util.function.Supplier;
import ringspindle.protocol.Message.Accept;
import ringspindle.protocol.Message.Accepted;
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
 * The voter side of view consensus. A promise for epoch e + 1 also fences epoch e: from then on this node neither
 * accepts entries of e nor confirms e. State is synced to disk before any reply reports it.
 */
final class Acceptor {
    private final ReplicaContext replica;
    private final Effects effects;
    private final Supplier<Position> position;
    private VoterState state = new VoterState.Unpromised(0);
    /** When the newest epoch was promised, or when that promise was restored in this process. */
    private long promisedSinceMs;

    /**
     * @param position the position of this node's copy of the control state
     */
    Acceptor(ReplicaContext replica, Effects effects, Supplier<Position> position) {
        this.replica = replica;
        this.effects = effects;
        this.position = position;
    }

    // ---- transitions

    /** Restores the promised and accepted state, read from disk or relearned from a majority after a lost disk. */
    void restore(VoterState restored) {
        state = restored;
        promisedSinceMs = replica.nowMs();
    }

    /** Discards the promise and the accepted value of an epoch that has been decided. */
    void onViewStarted(View view) {
        if (state.epoch() <= view.epoch()) {
            state = new VoterState.Unpromised(state.epoch());
        }
    }

    private void transitionTo(VoterState next) {
        if (state.epoch() < next.epoch()) {
            promisedSinceMs = replica.nowMs();
        }
        state = next;
    }

    // ---- queries

    /** The voter's durable record. */
    Vote vote() {
        return state.toVote(replica.view());
    }

    boolean fenced() {
        return replica.view() != null && state.epoch() > replica.epoch();
    }

    boolean fencedFor(long ms) {
        return fenced() && replica.nowMs() - promisedSinceMs >= ms;
    }

    /** The ballot promised for the epoch, or {@link Ballot#NONE}. */
    Ballot promisedBallot(long epoch) {
        return state.epoch() == epoch ? state.promised() : Ballot.NONE;
    }

    // ---- messages

    void onPrepare(NodeId from, Prepare prepare) {
        if (!replica.participates()) {
            return;
        }
        if (prepare.epoch() <= replica.epoch()) {
            sendDecidedView(from);
            return;
        }
        if (prepare.epoch() != replica.epoch() + 1 || !replica.votes()) {
            return;
        }
        ProposalId proposal = new ProposalId(prepare.epoch(), new Ballot(prepare.ballot()));
        if (mayPromise(proposal)) {
            promise(from, proposal);
        } else {
            reject(from, proposal);
        }
    }

    private boolean mayPromise(ProposalId proposal) {
        return state.epoch() < proposal.epoch()
                || state.epoch() == proposal.epoch() && proposal.ballot().isHigherThan(state.promised());
    }

    private void promise(NodeId proposer, ProposalId proposal) {
        transitionTo(state.withPromise(proposal));
        Position replicaPosition = position.get();
        Pledge promise = new Pledge(
                proposal.epoch(),
                proposal.ballot().number(),
                true,
                state.promised().number(),
                state.acceptedBallot().number(),
                replicaPosition.lineage(),
                replicaPosition.seq(),
                state.accepted(),
                replica.view());
        effects.append(List.of(vote()), () -> effects.send(proposer, promise));
    }

    private void reject(NodeId proposer, ProposalId proposal) {
        Pledge rejection = new Pledge(
                proposal.epoch(),
                proposal.ballot().number(),
                false,
                state.promised().number(),
                0,
                0,
                0,
                null,
                replica.view());
        effects.send(proposer, rejection);
    }

    void onAccept(NodeId from, Accept accept) {
        if (replica.view() == null) {
            return;
        }
        if (accept.epoch() <= replica.epoch()) {
            sendDecidedView(from);
            return;
        }
        if (!replica.participates() || accept.epoch() != replica.epoch() + 1 || !replica.votes()) {
            return;
        }
        Ballot ballot = new Ballot(accept.ballot());
        if (promisedBallot(accept.epoch()).isHigherThan(ballot)) {
            effects.send(
                    from,
                    new Accepted(
                            accept.epoch(),
                            accept.ballot(),
                            false,
                            state.promised().number()));
            return;
        }
        transitionTo(new VoterState.Accepting(accept.epoch(), ballot, ballot, accept.view()));
        Accepted answer = new Accepted(accept.epoch(), accept.ballot(), true, accept.ballot());
        effects.append(List.of(vote()), () -> effects.send(from, answer));
    }

    /** Reports this voter's state to a node that lost its disk or missed a view, after syncing it to disk. */
    void onRelearn(NodeId from, Relearn relearn) {
        if (!replica.participates()) {
            return;
        }
        Vote vote = vote();
        Relearned answer = new Relearned(
                relearn.id(),
                vote.promisedEpoch(),
                vote.promised(),
                vote.acceptedBallot(),
                vote.accepted(),
                vote.view());
        effects.append(List.of(vote), () -> effects.send(from, answer));
    }

    /** Informs a proposer that the epoch it proposes for is already decided. */
    private void sendDecidedView(NodeId proposer) {
        effects.send(proposer, new Decided(replica.view()));
    }

    @Override
    public String toString() {
        return "promised " + state.epoch() + "/" + state.promised().number() + " accepted "
                + state.acceptedBallot().number();
    }
}
