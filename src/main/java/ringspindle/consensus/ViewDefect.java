package ringspindle.consensus;

/** A defect of the current view that calls for a new one. The first that applies, in this order, is used. */
enum ViewDefect {
    /** This voter has promised a newer view that has not been decided. */
    FENCED,
    /** Two adjacent chain members are not connected. */
    CHAIN_BROKEN,
    /** A chain member has announced its shutdown, and enough others stay. */
    MEMBER_LEAVES,
    /** Entries at the head have been waiting too long for commit. */
    STALLED,
    /** The head holds no state of this view, or is relearning. */
    HEAD_WITHOUT_STATE,
    /** A voter outside the chain could rejoin it. */
    VOTER_TO_ADD,
    /** Another set of voters would be better. */
    VOTERS_TO_CHANGE
}
