package ringspindle.consensus;

import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;

/**
 * The durable state of a voter in view consensus. {@link Acceptor} owns all transitions.
 *
 * <p>Invariants: the epoch never decreases, and within an epoch the promised ballot never decreases. A view is accepted
 * under a ballot no higher than the one promised. A voter whose epoch is above that of the current view is fenced: it
 * accepts no entry of that view.
 */
sealed interface VoterState {
    /** The newest epoch with a promise, 0 if there is none. */
    long epoch();

    /** The highest ballot promised for that epoch. */
    Ballot promised();

    /** The ballot under which a view was accepted, {@link Ballot#NONE} if none was. */
    default Ballot acceptedBallot() {
        return Ballot.NONE;
    }

    /** The accepted view, or null. */
    default View accepted() {
        return null;
    }

    /** Returns the state after a promise of the ballot; a view accepted for the same epoch stays accepted. */
    default VoterState withPromise(ProposalId proposal) {
        return new Promised(proposal.epoch(), proposal.ballot());
    }

    /** Nothing is promised: all epochs up to this one are decided. */
    record Unpromised(long epoch) implements VoterState {
        @Override
        public Ballot promised() {
            return Ballot.NONE;
        }
    }

    /** A ballot is promised and no view accepted. */
    record Promised(long epoch, Ballot promised) implements VoterState {}

    /** A view is accepted and may be decided. A higher ballot may have been promised since. */
    record Accepting(long epoch, Ballot promised, Ballot acceptedBallot, View accepted) implements VoterState {
        @Override
        public VoterState withPromise(ProposalId proposal) {
            return proposal.epoch() == epoch
                    ? new Accepting(epoch, proposal.ballot(), acceptedBallot, accepted)
                    : new Promised(proposal.epoch(), proposal.ballot());
        }
    }

    /** Returns the state for the values of a {@link Vote}; 0 and null mean none. */
    static VoterState of(long epoch, long promised, long acceptedBallot, View accepted) {
        if (accepted != null) {
            return new Accepting(epoch, new Ballot(promised), new Ballot(acceptedBallot), accepted);
        }
        return promised == 0 ? new Unpromised(epoch) : new Promised(epoch, new Ballot(promised));
    }

    /** Returns the durable record, with the current view or null if that is unknown. */
    default Vote toVote(View currentView) {
        return new Vote(epoch(), promised().number(), acceptedBallot().number(), accepted(), currentView);
    }
}
