package ringspindle.consensus;

/** What may be wrong with the view in force, so that another one is to be proposed. The first that applies counts. */
enum ViewDefect {
    /** This voter has promised a newer view that has not come about. */
    FENCED,
    /** Two neighbours in the chain are not in touch. */
    CHAIN_BROKEN,
    /** A member of the chain says that it ends, and enough others stay. */
    MEMBER_LEAVES,
    /** Entries wait for too long at the head. */
    STALLED,
    /** The head holds no state of this view, or has lost its memory. */
    HEAD_WITHOUT_STATE,
    /** A voter outside the chain could be a member again. */
    VOTER_TO_ADD,
    /** Another set of voters would be better. */
    VOTERS_TO_CHANGE
}
