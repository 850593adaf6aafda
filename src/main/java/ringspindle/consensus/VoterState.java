package ringspindle.consensus;

import ringspindle.protocol.Message.View;
import ringspindle.protocol.Message.Vote;

/**
 * What a voter must not forget of the agreement on the next view. {@link Acceptor} owns all transitions.
 *
 * <p>Invariants: epochs never fall, and within an epoch the promised ballot never falls. A view is accepted under a ballot no
 * higher than the one promised. A voter whose epoch is above that of the view in force is fenced: it takes no entry of that
 * view.
 */
sealed interface VoterState {
    /** The newest epoch that anything was promised for, 0 if none was. */
    long epoch();

    /** The highest ballot promised for that epoch. */
    Ballot promised();

    /** The ballot under which a view was accepted, {@link Ballot#NONE} if none was. */
    default Ballot acceptedBallot() {
        return Ballot.NONE;
    }

    /** The view that was accepted, null if none was. */
    default View accepted() {
        return null;
    }

    /** The state after a promise of that ballot: what was accepted for the same epoch stays accepted. */
    default VoterState withPromise(ProposalId proposal) {
        return new Promised(proposal.epoch(), proposal.ballot());
    }

    /** Nothing is promised; whatever was, for epochs up to this one, is decided. */
    record Unpromised(long epoch) implements VoterState {
        @Override
        public Ballot promised() {
            return Ballot.NONE;
        }
    }

    /** A ballot is promised, and no view accepted. */
    record Promised(long epoch, Ballot promised) implements VoterState {}

    /** A view is accepted; it may be decided. A higher ballot may have been promised since. */
    record Accepting(long epoch, Ballot promised, Ballot acceptedBallot, View accepted) implements VoterState {
        @Override
        public VoterState withPromise(ProposalId proposal) {
            return proposal.epoch() == epoch
                    ? new Accepting(epoch, proposal.ballot(), acceptedBallot, accepted)
                    : new Promised(proposal.epoch(), proposal.ballot());
        }
    }

    /** The state that these values, as in {@link Vote}, stand for; 0 and null stand for nothing. */
    static VoterState of(long epoch, long promised, long acceptedBallot, View accepted) {
        if (accepted != null) {
            return new Accepting(epoch, new Ballot(promised), new Ballot(acceptedBallot), accepted);
        }
        return promised == 0 ? new Unpromised(epoch) : new Promised(epoch, new Ballot(promised));
    }

    /** The record for the disk, with the view in force, null if that is unknown. */
    default Vote toVote(View currentView) {
        return new Vote(epoch(), promised().number(), acceptedBallot().number(), accepted(), currentView);
    }
}
