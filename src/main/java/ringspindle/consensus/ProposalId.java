package ringspindle.consensus;

/** Identifies a proposal by epoch and ballot; replies to any other proposal are ignored. */
record ProposalId(long epoch, Ballot ballot) {
    /** Whether a message with this epoch and ballot belongs to this proposal. */
    boolean matches(long messageEpoch, long messageBallot) {
        return epoch == messageEpoch && ballot.number() == messageBallot;
    }
}
