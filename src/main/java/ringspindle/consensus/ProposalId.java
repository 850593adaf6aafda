package ringspindle.consensus;

/** What a proposal is for, and under which ballot; answers to another one count for nothing. */
record ProposalId(long epoch, Ballot ballot) {
    /** True for the epoch and ballot of a message that belongs to this proposal. */
    boolean matches(long messageEpoch, long messageBallot) {
        return epoch == messageEpoch && ballot.number() == messageBallot;
    }
}
