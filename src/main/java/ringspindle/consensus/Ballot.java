package ringspindle.consensus;

/**
 * The ballot number of a proposal for an epoch. The high bits hold the round and the low bits the proposer, so that no
 * two proposers share a number. {@code Ballot.of(2, 0).isHigherThan(Ballot.of(1, 3))}.
 *
 * @param number the encoded form in messages and on disk; 0 for none
 */
record Ballot(long number) implements Comparable<Ballot> {
    /** Lower than the ballot of any proposal. */
    static final Ballot NONE = new Ballot(0);

    private static final int PROPOSER_BITS = 10;

    /**
     * Returns the ballot of a proposer in a round.
     *
     * @param round from 1
     * @param voterIndex the proposer's index among the voters of the current view, from 0
     */
    static Ballot of(long round, int voterIndex) {
        return new Ballot(round << PROPOSER_BITS | voterIndex + 1);
    }

    long round() {
        return number >> PROPOSER_BITS;
    }

    boolean isHigherThan(Ballot other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(Ballot other) {
        return Long.compare(number, other.number);
    }
}
